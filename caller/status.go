package caller

// State is the state of a job as callers see it.
type State string

const (
	// StateQueued is that of an accepted job that does not run yet.
	StateQueued State = "queued"
	// StateRunning is that of a job that may have started.
	StateRunning State = "running"
	// StateDone is that of a job that ended with an answer.
	StateDone State = "done"
	// StateFailed is that of a job that ran and failed.
	StateFailed State = "failed"
	// StateRefused is that of a job that was accepted and did not run.
	StateRefused State = "refused"
	// StateCancelled is that of a job that the caller cancelled.
	StateCancelled State = "cancelled"
	// StateLost is that of a job that may have run and has no answer.
	StateLost State = "lost"
	// StateUnknown says that it is not known whether the job was accepted or how it stands.
	StateUnknown State = "unknown"
)

// Ended says that the state is final.
func (s State) Ended() bool {
	switch s {
	case StateDone, StateFailed, StateRefused, StateCancelled, StateLost:
		return true
	}
	return false
}

// Status is what a caller learns about a job.
type Status struct {
	ID        string `json:"id"`
	State     State  `json:"state"`
	Workspace string `json:"workspace"`
	// Answer must be UTF-8; a job with another answer is shown as failed.
	Answer  string   `json:"answer"`
	Reasons []string `json:"reasons"`
}
