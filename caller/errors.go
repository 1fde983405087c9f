package caller

import "errors"

// ErrLimit marks a submission over a limit of its workspace: it was not accepted and is not run.
var ErrLimit = errors.New("limit of the workspace exceeded")

// ErrNotAccepted marks a submission that was refused before acceptance: it is not run.
var ErrNotAccepted = errors.New("job not accepted")

// ErrNotFound marks an id under which the workspace certainly has no job.
var ErrNotFound = errors.New("job does not exist")

// ErrDraining is the cause with which the context of a waiting call ends during a shutdown.
var ErrDraining = errors.New("server is shutting down")

// errOutcomeUnknown marks a submission that may have been accepted.
var errOutcomeUnknown = errors.New("outcome of the submission is unknown")

// errNotSubmission marks an error of a lookup or cancellation that only a submission may return.
var errNotSubmission = errors.New("unexpected error of a lookup")
