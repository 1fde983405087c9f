package operator

import (
	"errors"
	"fmt"

	"radishpath.example/radishpath/document"
)

// ErrNotPublished marks a publish that the platform's log refused; nothing was published.
var ErrNotPublished = errors.New("the platform's log refused the document; nothing was published")

// ConflictError says that another publish came first; nothing was published.
type ConflictError struct {
	Reason  string
	Current Document
	// Diff leads from the current text to the refused one.
	Diff string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return e.Reason
}

// StatusError is an error reply.
type StatusError struct {
	// Code is the HTTP status.
	Code     int
	Reason   string
	Findings document.Findings
}

// Error implements error.
func (e *StatusError) Error() string {
	if len(e.Findings) > 0 {
		return fmt.Sprintf("%s\n%s", e.Reason, e.Findings.Error())
	}
	return fmt.Sprintf("%s (status %d)", e.Reason, e.Code)
}
