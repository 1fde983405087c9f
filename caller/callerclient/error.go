package callerclient

import (
	"fmt"
	"net/http"
	"strings"
)

// Finding is one problem in a request.
type Finding struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error is an error reply of the server.
type Error struct {
	// Code is the HTTP status code.
	Code     int       `json:"-"`
	Findings []Finding `json:"findings"`
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Findings) == 0 {
		return fmt.Sprintf("status %d %s", e.Code, http.StatusText(e.Code))
	}
	lines := make([]string, 0, len(e.Findings))
	for _, finding := range e.Findings {
		lines = append(lines, strings.TrimPrefix(finding.Field+": "+finding.Problem, ": "))
	}
	return strings.Join(lines, "\n")
}

// OutcomeUnknown reports whether the server may have carried out the request. A 5xx status without findings can come
// from a load balancer that lost the connection to the entry.
func (e *Error) OutcomeUnknown() bool {
	return e.Code >= http.StatusInternalServerError && len(e.Findings) == 0
}
