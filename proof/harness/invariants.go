package harness

import (
	"errors"
	"fmt"
	"time"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/standin/workerserver"
)

// The invariants take events as Harness.Events returns them. Each returns nil, or an error that names every violation.

// AtMostOnce checks that no request and no member of the named jobs ran twice. Going on from a checkpoint is no second
// run if the run before ended in it.
func AtMostOnce(events []workerserver.Event, jobs map[string]bool) error {
	type run struct {
		kind   string
		job    string
		member int32
	}
	var violations []error
	last := map[run]workerserver.Event{}
	for _, event := range events {
		if !jobs[event.Job] || !starts(event) && !ends(event) {
			continue
		}
		key := run{event.Kind, event.Job, event.Member}
		before, ran := last[key]
		resumed := event.Resumed && ends(before) && before.State == logservice.StateCheckpointed
		if starts(event) && ran && !resumed {
			violations = append(violations, violation(event, "runs again after "+before.Time.String()))
		}
		last[key] = event
	}
	return errors.Join(violations...)
}

// NoPartialGangs checks that no gang ran for longer than the limit while one of its members neither ran nor was done.
// What has not ended counts as running until the given time.
func NoPartialGangs(
	events []workerserver.Event, members map[string]int32, limit time.Duration, until time.Time,
) error {
	var violations []error
	gangs := map[attempt]*gang{}
	for _, event := range events {
		if event.Kind != workerserver.KindTask || !starts(event) && !ends(event) {
			continue
		}
		count, known := members[event.Job]
		if !known {
			violations = append(violations, violation(event, "the log does not have the job"))
			continue
		}
		key := attempt{event.Job, event.Generation, event.Count}
		if gangs[key] == nil {
			gangs[key] = newGang(count, limit)
		}
		violations = append(violations, gangs[key].apply(event))
	}
	for key, g := range gangs {
		if err := g.check(until); err != nil {
			violations = append(violations, fmt.Errorf("%s %d/%d: %w", key.job, key.generation, key.count, err))
		}
	}
	return errors.Join(violations...)
}

// NoStartInZone checks that nothing started in the availability zone after one time and before another.
func NoStartInZone(events []workerserver.Event, zone string, after, before time.Time) error {
	return noStart(events, "zone "+zone+" is out of service", func(event workerserver.Event) bool {
		return event.Zone == zone && event.Time.After(after) && event.Time.Before(before)
	})
}

// NoStartOn checks that nothing started on the worker and backend server after one time and before another.
func NoStartOn(events []workerserver.Event, worker string, after, before time.Time) error {
	return noStart(events, worker+" is leaving", func(event workerserver.Event) bool {
		return event.Worker == worker && event.Time.After(after) && event.Time.Before(before)
	})
}

// NotRun checks that none of the named jobs ran at all.
func NotRun(events []workerserver.Event, jobs map[string]bool) error {
	return noStart(events, "told not to have run", func(event workerserver.Event) bool { return jobs[event.Job] })
}

func noStart(events []workerserver.Event, reason string, matches func(workerserver.Event) bool) error {
	var violations []error
	for _, event := range events {
		if starts(event) && matches(event) {
			violations = append(violations, violation(event, reason))
		}
	}
	return errors.Join(violations...)
}

func violation(event workerserver.Event, reason string) error {
	return fmt.Errorf("%s %s of %s %d/%d member %d on %s (%s) at %s: %s", event.Event, event.Kind, event.Job,
		event.Generation, event.Count, event.Member, event.Worker, event.Zone,
		event.Time.Format(time.RFC3339Nano), reason)
}
