package operator

import (
	"errors"
	"fmt"
)

// ErrOutcomeUnknown means that the document may or may not have been published.
var ErrOutcomeUnknown = errors.New("whether it was published is unknown")

// ConflictError means that the document was edited from a revision that is no longer current. Nothing was published.
type ConflictError struct {
	BaseRevision int64
	Current      Document
	// Diff is the unified diff from the current text to the rejected one.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("edited from revision %d, but revision %d is current; nothing was published", e.BaseRevision,
		e.Current.Revision)
}
