package rest

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrRejected marks a call that was definitely not carried out.
var ErrRejected = errors.New("rejected")

// StatusError is an answer other than 2xx.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
	// Text is the start of the answer's body.
	Text string
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Text)
}

// rejects reports whether the status says that nothing was done.
func (e *StatusError) rejects() bool {
	return e.Code == http.StatusServiceUnavailable || e.Code >= 400 && e.Code < 500
}

// IsStatus reports whether err is an answer with the status code.
func IsStatus(err error, code int) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Code == code
}
