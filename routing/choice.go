package routing

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// ErrNoServer is returned when no server can currently accept the request.
var ErrNoServer = errors.New("no backend server can accept the request")

// ErrDeadline is returned when the request cannot start before its deadline.
var ErrDeadline = errors.New("deadline passes before the request can start")

// Reason is why Pick skipped a server.
type Reason string

const (
	// ReasonExcluded means that the server has already rejected this request.
	ReasonExcluded Reason = "refused this request before"
	// ReasonFailing means that the circuit breaker is open after several consecutive failures.
	ReasonFailing Reason = "failing"
	// ReasonConnectionLimit means that all connections are in use.
	ReasonConnectionLimit Reason = "connections in use"
	// ReasonLargeSlotLimit means that large requests occupy all slots that they may use.
	ReasonLargeSlotLimit Reason = "slots for large requests in use"
	// ReasonDraining means that the server accepts no new work.
	ReasonDraining Reason = "leaving"
	// ReasonOutOfService means that the availability zone is out of service.
	ReasonOutOfService Reason = "availability zone out of service"
	// ReasonSilent means that the agent has not announced the server for 3 s.
	ReasonSilent Reason = "silent"
)

// Skipped is a server that Pick skipped.
type Skipped struct {
	Server string
	Reason Reason
}

// Choice is the selected server.
type Choice struct {
	Server string
	// Large is set for a request of the large class.
	Large bool
	// Estimate is the expected run time; Wait is the expected time until the start, including the network round trip.
	Estimate time.Duration
	Wait     time.Duration
	Skipped  []Skipped
}

// String formats the choice for the log.
func (c Choice) String() string {
	class := "small"
	if c.Large {
		class = "large"
	}
	text := fmt.Sprintf("%s: %s request, estimate %s, wait %s", c.Server, class, c.Estimate, c.Wait)
	if len(c.Skipped) > 0 {
		text += ", skipped: " + summarizeSkipped(c.Skipped)
	}
	return text
}

// NoServerError is returned when all servers were skipped. It wraps ErrNoServer.
type NoServerError struct {
	Skipped []Skipped
}

// Error returns the number of skipped servers for each reason.
func (e *NoServerError) Error() string {
	if len(e.Skipped) == 0 {
		return ErrNoServer.Error() + ": no servers are known"
	}
	return ErrNoServer.Error() + ": " + summarizeSkipped(e.Skipped)
}

// Unwrap returns ErrNoServer.
func (e *NoServerError) Unwrap() error {
	return ErrNoServer
}

// summarizeSkipped counts the skipped servers by reason; listing up to 1,500 servers would not fit on a log line.
func summarizeSkipped(skipped []Skipped) string {
	counts := map[Reason]int{}
	for _, server := range skipped {
		counts[server.Reason]++
	}
	parts := make([]string, 0, len(counts))
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, reason))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
