package placement

import "time"

// Kind is what a Decision asks for.
type Kind string

// Kinds of decisions.
const (
	// Place starts the job on Members.
	Place Kind = "place"
	// Evict checkpoints the job if Checkpoint is set, and stops it within Limit. The caller reports its end with Ended;
	// the scheduler keeps the job and places it again.
	Evict Kind = "evict"
	// Wait reports once that a job could not be placed on the first attempt.
	Wait Kind = "wait"
	// Refuse ends the job, which will not run.
	Refuse Kind = "refuse"
)

// Decision is an action for the caller to carry out.
type Decision struct {
	Kind    Kind
	Job     string
	Members []Assignment
	// Borrowed is set for a job outside the guarantee of its workspace, which may be evicted.
	Borrowed   bool
	Checkpoint bool
	// Limit is the time within which an evicted job must have stopped; zero means immediately.
	Limit   time.Duration
	Reasons []string
}

// Assignment is the worker and the accelerators of one member. Accelerators is a bitmask of accelerator indexes.
type Assignment struct {
	Worker       string
	Accelerators uint64
}

// Result is the outcome of a run. An evicted job that stopped has OK false and no FailedWorker. FailedWorker is the
// worker on which a member failed; if the job may run again, it is tried on other workers.
type Result struct {
	OK           bool
	FailedWorker string
	Reason       string
}
