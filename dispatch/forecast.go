package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// forecast says when a unit fits without stopping anything.
type forecast struct {
	place *placement
	left  time.Duration
}

// remaining is the expected time until a run ends, from its progress, or from the estimate before there is any.
func (b *Board) remaining(place *placement, now Instant) time.Duration {
	if place.stopping {
		return b.config.StopGrace
	}
	elapsed := now.Boot - place.started
	done := place.percent - place.basePercent
	if !place.running || done <= 0 {
		expected := b.estimates.of(place.task.group)
		if elapsed > expected {
			// Without progress beyond its estimate, nothing says that it ends soon.
			return elapsed
		}
		return expected - elapsed
	}
	total := (place.moved - place.started) * time.Duration(100-place.basePercent) / time.Duration(done)
	return max(total-elapsed, 0)
}

// fitsIn returns where and when the unit is expected to fit on some of the sites as runs end by themselves; nil if it
// never does.
func (b *Board) fitsIn(v *view, u *unit, sites []*site, now Instant) (assignment, time.Duration) {
	ends := b.forecasts(v, now)
	after := sort.Search(len(ends), func(count int) bool {
		return b.pack(v, u, sites, b.roomAfter(v, ends[:count+1])) != nil
	})
	if after == len(ends) {
		return nil, 0
	}
	return b.pack(v, u, sites, b.roomAfter(v, ends[:after+1])), ends[after].left
}

// forecasts returns when runs are expected to end, in that order.
func (b *Board) forecasts(v *view, now Instant) []forecast {
	if v.ends != nil {
		return v.ends
	}
	b.eachPlacement(func(place *placement) {
		if _, ok := v.byLife[place.life]; ok {
			v.ends = append(v.ends, forecast{
				place: place,
				left:  b.remaining(place, now),
			})
		}
	})
	slices.SortFunc(v.ends, func(x, y forecast) int {
		return cmp.Or(cmp.Compare(x.left, y.left), compareTasks(x.place.task, y.place.task))
	})
	return v.ends
}

// compareTasks is an order that doesn't change between passes.
func compareTasks(x, y *task) int {
	return cmp.Or(
		cmp.Compare(x.id.Job, y.id.Job),
		cmp.Compare(x.id.Occurrence, y.id.Occurrence),
		cmp.Compare(x.id.Step, y.id.Step),
		cmp.Compare(x.id.Index, y.id.Index),
	)
}

// roomAfter returns the room of a site once some runs have ended.
func (b *Board) roomAfter(v *view, ends []forecast) func(s *site) room {
	freed := map[*site]room{}
	for _, end := range ends {
		s := v.byLife[end.place.life]
		freed[s] = freed[s].plus(roomOf(end.place.task.group.step))
	}
	return func(s *site) room { return s.free.plus(freed[s]) }
}

const (
	// reclaimPatience is how long after its acceptance guaranteed work may wait for room that frees by itself. It
	// leaves time to stop other work within the limit for reclaiming.
	reclaimPatience = 1200 * time.Millisecond
	// latePart of its objective is how far urgent work may be behind and still stop other work: estimates are off, but
	// work that is surely late gains little.
	latePart = 0.3
)

// awaitRoom reports whether a unit should wait for room that frees by itself rather than stop other work. The room is
// kept for it, or whatever comes next would take it.
func (b *Board) awaitRoom(v *view, u *unit, sites []*site, now Instant) bool {
	if !u.guaranteed && u.slack < -time.Duration(latePart*float64(b.objective(u.group.job))) {
		return true
	}
	chosen, left := b.fitsIn(v, u, sites, now)
	if chosen == nil || left >= u.leastSlack/2 || (u.guaranteed && u.waited+left >= reclaimPatience) {
		return false
	}
	chosen.reserve(roomOf(u.group.step))
	return true
}
