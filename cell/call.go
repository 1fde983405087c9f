package cell

import (
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// Outcome is the result of a caller's request.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeOK means that the record was stored, or that the requested object exists.
	OutcomeOK Outcome = iota
	// OutcomeNotRun means that the job was not accepted and will never run.
	OutcomeNotRun
	// OutcomeUnknown means that the job may have been accepted.
	OutcomeUnknown
	// OutcomeNoQueue means that no such queue exists.
	OutcomeNoQueue
	// OutcomeNoJob means that no such job exists.
	OutcomeNoJob
	// OutcomeDenied means that the key has no access.
	OutcomeDenied
	// OutcomeInvalid means that the request is malformed.
	OutcomeInvalid
	// OutcomeUnavailable means that the entry process can't serve the request now.
	OutcomeUnavailable
)

// Call holds the fields that all requests of callers share.
type Call struct {
	Host   string
	Path   string
	APIKey string
	// Timeout is how long the caller waits for the response.
	Timeout time.Duration
}

// Response is the response of an entry process to a request.
type Response struct {
	Outcome Outcome
	// Reason explains why a request was rejected.
	Reason string
	// RetryAfter is how long the caller should wait before a retry; 0 if unknown.
	RetryAfter time.Duration
	State      cellpb.State
	// Pending is the number of jobs that haven't begun, in responses about a queue.
	Pending int
	// Queue is set in responses about a queue.
	Queue bool
}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeNoQueue:
		return "no-queue"
	case OutcomeNoJob:
		return "no-job"
	case OutcomeDenied:
		return "denied"
	case OutcomeInvalid:
		return "invalid"
	case OutcomeUnavailable:
		return "unavailable"
	}
	return "outcome"
}
