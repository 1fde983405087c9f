package placement

import "time"

// Kind is what a Decision asks for.
type Kind string

// Kinds of decisions.
const (
	// Place starts the job on Members.
	Place Kind = "place"
	// Evict checkpoints the job if Checkpoint is set, and stops it within Limit. Its end is reported with Ended; the
	// scheduler keeps the job and places it again.
	Evict Kind = "evict"
	// Wait is given once for a job that was not placed at its first try.
	Wait Kind = "wait"
	// Refuse ends the job; it does not run.
	Refuse Kind = "refuse"
)

// Decision is one step for the caller to carry out.
type Decision struct {
	Kind    Kind
	Job     string
	Members []Assignment
	// Borrowed marks work outside its workspace's guarantee, which may be evicted.
	Borrowed   bool
	Checkpoint bool
	// Limit is the time until an evicted job must have stopped; zero means at once.
	Limit   time.Duration
	Reasons []string
}

// Assignment is the place of one member. Accelerators is a set of indexes.
type Assignment struct {
	Worker       string
	Accelerators uint64
}

// Result is how a run of a job ended. An evicted job that stopped has OK false and no FailedWorker. FailedWorker is the
// worker on which a member failed; the job is tried elsewhere if it may run again.
type Result struct {
	OK           bool
	FailedWorker string
	Reason       string
}
