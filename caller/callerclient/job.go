package callerclient

import "encoding/json"

// The states of a job.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateDone      = "done"
	StateFailed    = "failed"
	StateRefused   = "refused"
	StateCancelled = "cancelled"
	StateLost      = "lost"
	StateUnknown   = "unknown"
)

// Submission is a job to submit. Accelerators, cores and memory are per member.
type Submission struct {
	// ID is assigned by the server when it is empty.
	ID             string `json:"id,omitempty"`
	Idempotent     bool   `json:"idempotent,omitempty"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
	Urgent         bool   `json:"urgent,omitempty"`
	Members        int    `json:"members,omitempty"`
	Accelerators   int    `json:"accelerators,omitempty"`
	Cores          int    `json:"cores,omitempty"`
	// Memory is in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Scope is worker, rack or zone.
	Scope string `json:"scope,omitempty"`
	// Declared is the expected run time and Deadline the time from submission, both as Go durations.
	Declared string `json:"declared,omitempty"`
	Deadline string `json:"deadline,omitempty"`
	Kind     string `json:"kind,omitempty"`
	// Payload is any JSON value; the worker or backend server gets it as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Job is what is known of a job.
type Job struct {
	ID        string   `json:"id"`
	State     string   `json:"state"`
	Workspace string   `json:"workspace"`
	Answer    string   `json:"answer,omitempty"`
	Reasons   []string `json:"reasons,omitempty"`
}

// Ended reports whether the state is final.
func (j Job) Ended() bool {
	switch j.State {
	case StateQueued, StateRunning, StateUnknown:
		return false
	default:
		return true
	}
}
