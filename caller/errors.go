package caller

import "errors"

// ErrLimitExceeded means that a submission exceeds a limit of its workspace: the job was not accepted and is not run.
var ErrLimitExceeded = errors.New("limit of the workspace exceeded")

// ErrNotAccepted means that a submission was rejected before acceptance: the job is not run.
var ErrNotAccepted = errors.New("job not accepted")

// ErrNotFound means that the workspace certainly has no job with the id.
var ErrNotFound = errors.New("job does not exist")

// ErrShuttingDown is the cause with which the context of a waiting call ends during a shutdown.
var ErrShuttingDown = errors.New("server is shutting down")

// errOutcomeUnknown means that a submission may have been accepted.
var errOutcomeUnknown = errors.New("outcome of the submission is unknown")

// errUnexpectedLookup means that a lookup or cancellation returned an error that only a submission may return.
var errUnexpectedLookup = errors.New("lookup returned an error that only a submission may return")

// isNotRun reports whether err means that the job is certainly not run.
func isNotRun(err error) bool {
	var findings Findings
	return errors.As(err, &findings) || errors.Is(err, ErrLimitExceeded) || errors.Is(err, ErrNotAccepted)
}
