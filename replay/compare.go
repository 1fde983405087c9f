package replay

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// AddDecisions returns the trace with the decisions of a replay inserted, sorted by time.
func AddDecisions(events []Event, result *RunResult) []Event {
	merged := append(slices.Clone(events), result.DecisionEvents...)
	slices.SortStableFunc(merged, func(a, b Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	return merged
}

// FirstDifference compares the recorded decisions of a trace with those of a replay. It returns a description of the
// first difference, or an empty string if there is none.
func FirstDifference(events []Event, result *RunResult) string {
	index := 0
	for _, e := range events {
		if e.Kind != EventDecision {
			continue
		}
		if index == len(result.DecisionEvents) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed none", index+1, *e.Decision, e.AtMillis)
		}
		if got := result.DecisionEvents[index]; got.AtMillis != e.AtMillis || !reflect.DeepEqual(got.Decision, e.Decision) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed %+v at %d ms", index+1, *e.Decision, e.AtMillis,
				*got.Decision, got.AtMillis)
		}
		index++
	}
	if index < len(result.DecisionEvents) {
		return fmt.Sprintf("decision %d: recorded none, replayed %+v at %d ms", index+1,
			*result.DecisionEvents[index].Decision, result.DecisionEvents[index].AtMillis)
	}
	return ""
}
