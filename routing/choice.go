package routing

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// ErrNoServer marks a request that no server can take now.
var ErrNoServer = errors.New("no backend server can take the request")

// ErrDeadline marks a request that cannot start before its deadline.
var ErrDeadline = errors.New("deadline passes before the request can start")

// Reason tells why a server was passed over.
type Reason string

const (
	// ReasonExcluded is given when the request was refused there before.
	ReasonExcluded Reason = "refused this request before"
	// ReasonFailing is given after several failures in a row.
	ReasonFailing Reason = "failing"
	// ReasonFull is given when all connections are in use.
	ReasonFull Reason = "connections in use"
	// ReasonLarge is given when large requests have all slots that they may use.
	ReasonLarge Reason = "slots for large requests in use"
	// ReasonLeaving is given when the server takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonOutOfService is given when the availability zone is out of service.
	ReasonOutOfService Reason = "availability zone out of service"
	// ReasonSilent is given when the agent was not heard for 3 s.
	ReasonSilent Reason = "silent"
)

// Passed is a server that was passed over.
type Passed struct {
	Server string
	Reason Reason
}

// Choice is the selected server.
type Choice struct {
	Server string
	// Large is the class of the request.
	Large bool
	// Estimate is the expected run time, Wait the expected time before the start, travel included.
	Estimate time.Duration
	Wait     time.Duration
	Passed   []Passed
}

// String returns the choice for the log line of the decision.
func (c Choice) String() string {
	class := "small"
	if c.Large {
		class = "large"
	}
	text := fmt.Sprintf("%s: %s request, estimate %s, wait %s", c.Server, class, c.Estimate, c.Wait)
	if len(c.Passed) > 0 {
		text += ", passed over: " + summary(c.Passed)
	}
	return text
}

// NoServerError is returned when every server was passed over; it wraps ErrNoServer.
type NoServerError struct {
	Passed []Passed
}

// Error returns the reasons with their counts.
func (e *NoServerError) Error() string {
	if len(e.Passed) == 0 {
		return ErrNoServer.Error() + ": none is known"
	}
	return ErrNoServer.Error() + ": " + summary(e.Passed)
}

// Unwrap returns ErrNoServer.
func (e *NoServerError) Unwrap() error {
	return ErrNoServer
}

// summary counts the reasons; 1,500 servers are too many for a log line.
func summary(passed []Passed) string {
	counts := map[Reason]int{}
	for _, p := range passed {
		counts[p.Reason]++
	}
	parts := make([]string, 0, len(counts))
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, reason))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
