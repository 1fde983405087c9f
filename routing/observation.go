package routing

import "time"

// Outcome is how a request ended at a server.
type Outcome int

const (
	// Done means that the server answered; Observation.RunTime is learned.
	Done Outcome = iota
	// Failed means that the request ran and failed.
	Failed
	// Refused means that the request was not run there.
	Refused
	// Lost means that the connection broke or no reply came.
	Lost
)

// Observation is the end of a request that Pick placed.
type Observation struct {
	Server    string
	Job       string
	Workspace string
	Kind      string
	Outcome   Outcome
	RunTime   time.Duration
}
