package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// jobHistory sums up the runs of a job under this scheduler, for the log line of its end. The lines of single runs are
// dropped when there are too many.
type jobHistory struct {
	// orderedAt is when the first run was ordered, lastOrderedAt when the last one was; 0 if none was.
	orderedAt     time.Duration
	lastOrderedAt time.Duration
	runs          int
	// outcomes counts the ends, stops and losses of runs by kind or reason.
	outcomes map[string]int
	// wasted is the work of runs that was lost, in core-seconds.
	wasted float64
}

func (h *jobHistory) addOutcome(outcome string, wasted float64) {
	if h.outcomes == nil {
		h.outcomes = map[string]int{}
	}
	h.outcomes[outcome]++
	h.wasted += wasted
}

func (h *jobHistory) addRun(now time.Duration) {
	if h.runs == 0 {
		h.orderedAt = now
	}
	h.lastOrderedAt = now
	h.runs++
}

// fields returns log fields for a job that the scheduler learned of at firstSeen. Times are in milliseconds.
func (h *jobHistory) fields(firstSeen, now time.Duration) []any {
	outcomes := make([]string, 0, len(h.outcomes))
	for _, outcome := range slices.Sorted(maps.Keys(h.outcomes)) {
		outcomes = append(outcomes, fmt.Sprintf("%s %d", outcome, h.outcomes[outcome]))
	}
	fields := []any{
		"known", (now - firstSeen).Milliseconds(), "runs", h.runs, "outcomes", strings.Join(outcomes, ", "),
		"wasted", int64(h.wasted),
	}
	if h.runs > 0 {
		fields = append(fields, "ordered", (h.orderedAt - firstSeen).Milliseconds(),
			"last", (h.lastOrderedAt - firstSeen).Milliseconds())
	}
	return fields
}
