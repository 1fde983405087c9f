package caller

// State is the state of a job as callers see it.
type State string

const (
	// StateQueued means that the job was accepted and does not run yet.
	StateQueued State = "queued"
	// StateRunning means that the job may have started.
	StateRunning State = "running"
	// StateDone means that all tasks of the job have succeeded.
	StateDone State = "done"
	// StateFailed means that a task, or the gang, failed as often as the queue allows.
	StateFailed State = "failed"
	// StateCancelled means that the caller cancelled the job.
	StateCancelled State = "cancelled"
	// StateUnknown means that it is not known whether the job was accepted, or which state it is in.
	StateUnknown State = "unknown"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled:
		return true
	}
	return false
}

// Status is the status of a job as reported to callers.
type Status struct {
	ID        string   `json:"id"`
	State     State    `json:"state"`
	Workspace string   `json:"workspace"`
	Reasons   []string `json:"reasons"`
}
