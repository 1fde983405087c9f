package replay

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// AddDecisions returns the trace with the decisions of a replay inserted, sorted by time.
func AddDecisions(events []Event, result *Outcome) []Event {
	merged := append(slices.Clone(events), result.Decided...)
	slices.SortStableFunc(merged, func(a, b Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	return merged
}

// FirstDifference compares the recorded decisions of a trace with those of a replay. It returns a description of the
// first difference, or an empty string if there is none.
func FirstDifference(events []Event, result *Outcome) string {
	index := 0
	for _, e := range events {
		if e.Event != Decided {
			continue
		}
		if index == len(result.Decided) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed none", index+1, *e.Decision, e.AtMillis)
		}
		if got := result.Decided[index]; got.AtMillis != e.AtMillis || !reflect.DeepEqual(got.Decision, e.Decision) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed %+v at %d ms", index+1, *e.Decision, e.AtMillis,
				*got.Decision, got.AtMillis)
		}
		index++
	}
	if index < len(result.Decided) {
		return fmt.Sprintf("decision %d: recorded none, replayed %+v at %d ms", index+1,
			*result.Decided[index].Decision, result.Decided[index].AtMillis)
	}
	return ""
}
