package cmd

import (
	"errors"
	"fmt"
	"net"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure: the command failed, for example because a server is unreachable.
	exitFailure = 1
	// exitInvalid: the input or the command line is invalid; nothing was done.
	exitInvalid = 2
	// exitConflict: another publish came first; nothing was published.
	exitConflict = 3
	// exitPending: at the timeout the revision was not in effect everywhere, or the job had not ended.
	exitPending = 4
	// exitUnknown: it is unknown whether the call took effect.
	exitUnknown = 5
	// exitUnsuccessful: the job ended as failed or cancelled.
	exitUnsuccessful = 6
	// exitDifferent: diff found differences.
	exitDifferent = 7
)

const exitCodesHelp = `Exit codes:
  0  success
  1  the command failed
  2  the input or the command line is invalid; nothing was done
  3  another publish came first; nothing was published
  4  at the timeout, the revision was not in effect everywhere or the job had not ended
  5  it is unknown whether the call took effect
  6  the job ended as failed or cancelled
  7  diff found differences`

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	// Err is nil if the command has already printed the reason.
	Err error
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// isDialError reports whether no connection could be established, so that no server has received the call.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func exitCode(err error) int {
	var exitErr *ExitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exitErr):
		return exitErr.Code
	default:
		return exitFailure
	}
}
