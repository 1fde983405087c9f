package routing

import "time"

// Request is a request to be routed.
type Request struct {
	Job        string
	Workspace  string
	Kind       string
	Idempotent bool
	// Declared is the run time that the caller declared, zero if none.
	Declared time.Duration
	// Deadline is when the caller stops waiting, zero if never.
	Deadline time.Time
	// Zone is that of the entry that sends the request.
	Zone string
	// Exclude are servers that refused the request before.
	Exclude []string
}
