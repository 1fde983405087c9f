package callerclient

import "encoding/json"

// States of a job.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateDone      = "done"
	StateFailed    = "failed"
	StateCancelled = "cancelled"
	StateUnknown   = "unknown"
)

// Submission is a job to submit. Accelerators, cores and memory are per member.
type Submission struct {
	// ID has 16 hexadecimal digits; the server assigns one if it is empty.
	ID             string `json:"id,omitempty"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
	Members        int    `json:"members,omitempty"`
	Accelerators   int    `json:"accelerators,omitempty"`
	Cores          int    `json:"cores,omitempty"`
	// Memory is in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Queue is the name of a queue in the document. It may be empty if the document has one queue only.
	Queue string `json:"queue,omitempty"`
	// Scope is "rack" if the members run faster in one rack.
	Scope string `json:"scope,omitempty"`
	// Declared is the expected run time as a Go duration.
	Declared string `json:"declared,omitempty"`
	// Payload is any JSON value, passed to the executors unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Job is the status of a job.
type Job struct {
	ID        string   `json:"id"`
	State     string   `json:"state"`
	Workspace string   `json:"workspace"`
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
