package replay

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// WithDecisions returns a trace with the decisions of a replay among its events.
func WithDecisions(events []Event, o *Outcome) []Event {
	out := append(slices.Clone(events), o.Decided...)
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Difference compares the recorded decisions of a trace with those of a replay. It returns the first difference, or an
// empty string if there is none.
func Difference(events []Event, o *Outcome) string {
	at := 0
	for _, e := range events {
		if e.Event != Decided {
			continue
		}
		if at == len(o.Decided) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed none", at+1, *e.Decision, e.At)
		}
		if got := o.Decided[at]; got.At != e.At || !reflect.DeepEqual(got.Decision, e.Decision) {
			return fmt.Sprintf("decision %d: recorded %+v at %d ms, replayed %+v at %d ms", at+1, *e.Decision, e.At,
				*got.Decision, got.At)
		}
		at++
	}
	if at < len(o.Decided) {
		return fmt.Sprintf("decision %d: recorded none, replayed %+v at %d ms", at+1, *o.Decided[at].Decision,
			o.Decided[at].At)
	}
	return ""
}
