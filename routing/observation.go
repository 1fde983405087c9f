package routing

import "time"

// Outcome is the result of a request at a server.
type Outcome int

const (
	// OutcomeSucceeded means that the server answered; Observation.RunTime updates the run time estimate.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed
	// OutcomeRejected means that the server did not run the request.
	OutcomeRejected
	// OutcomeConnectionLost means that the connection broke or that no reply arrived.
	OutcomeConnectionLost
)

// Observation reports the end of a request that was sent to the server selected by Pick.
type Observation struct {
	Server    string
	JobID     string
	Workspace string
	Kind      string
	Outcome   Outcome
	RunTime   time.Duration
}
