package routing

import "time"

// Request is a request to be routed.
type Request struct {
	JobID      string
	Workspace  string
	Kind       string
	Idempotent bool
	// DeclaredRunTime is the run time declared by the caller; zero if none.
	DeclaredRunTime time.Duration
	// Deadline is when the caller stops waiting; zero if there is no deadline.
	Deadline time.Time
	// Zone is the availability zone of the entry that sends the request.
	Zone string
	// ExcludedServers lists the servers that have already rejected the request.
	ExcludedServers []string
}
