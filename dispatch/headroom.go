package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// headroomMemory is how long an arrival of urgent work counts for the headroom.
	headroomMemory = 15 * time.Second
	// headroomWindow is the time within which urgent work that arrives together should find room. Running work seldom
	// releases enough room sooner.
	headroomWindow = time.Second
	// maxHeadroomShare bounds the headroom, as a share of the schedulable accelerators of a service.
	maxHeadroomShare = 0.25
	// minHeadroomUse is the share of a service's accelerators in use below which no headroom is kept: room is
	// plentiful.
	minHeadroomUse = 0.5
	// minDeferSlackShare is the slack, as a share of the objective, with which less urgent work leaves the headroom
	// free. With less slack it takes any room, since its estimate may be too low.
	minDeferSlackShare = 0.3
)

// urgentArrival is the arrival of a job of priority 0.
type urgentArrival struct {
	at           time.Duration
	accelerators int64
}

// headroom tells how much room to keep for urgent work that is about to arrive. It answers bursts of short urgent jobs
// in a cell that longer work would otherwise fill: without it they wait for releases or preempt what has just started.
type headroom struct {
	// arrivals holds the arrivals of urgent jobs by service, the oldest first.
	arrivals map[string][]urgentArrival
}

func newHeadroom() headroom {
	return headroom{
		arrivals: map[string][]urgentArrival{},
	}
}

// recordArrival records an urgent job that arrived at a time and asks for some accelerators of a service.
func (h headroom) recordArrival(service string, accelerators int64, at time.Duration) {
	arrivals := append(h.arrivals[service], urgentArrival{
		at:           at,
		accelerators: accelerators,
	})
	slices.SortFunc(arrivals, func(x, y urgentArrival) int { return cmp.Compare(x.at, y.at) })
	h.arrivals[service] = arrivals
	h.forgetOld(service, arrivals[len(arrivals)-1].at)
}

// target is the most that urgent jobs asked for within one headroomWindow of the last headroomMemory.
func (h headroom) target(service string, now time.Duration) int64 {
	h.forgetOld(service, now)
	arrivals := h.arrivals[service]
	most, sum, first := int64(0), int64(0), 0
	for _, arrival := range arrivals {
		sum += arrival.accelerators
		for arrival.at-arrivals[first].at > headroomWindow {
			sum -= arrivals[first].accelerators
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (h headroom) forgetOld(service string, now time.Duration) {
	h.arrivals[service] = slices.DeleteFunc(h.arrivals[service], func(arrival urgentArrival) bool {
		return now-arrival.at > headroomMemory
	})
}

// keepsHeadroom reports whether a unit leaves the headroom free: it is less urgent and loses nothing by waiting, or too
// late for its result to have any value.
func (u *schedulingUnit) keepsHeadroom(objective time.Duration) bool {
	if u.guaranteed || u.group.step.GetPersistent() {
		return false
	}
	return u.overdue || (u.priority > 0 && u.slack > time.Duration(minDeferSlackShare*float64(objective)))
}

// markHeadroom marks the executors of a service that are kept free: the fastest, and of those the ones with the
// most free accelerators, until the target is reached. Whole executors are kept that way, which members of large gangs
// need.
func (p *Planner) markHeadroom(snap *cellSnapshot, service string, now Instant) {
	if snap.headroomMarked[service] {
		return
	}
	snap.headroomMarked[service] = true
	var candidates []*candidate
	total, free := int64(0), int64(0)
	for _, c := range snap.candidates {
		if c.schedulable && c.state.GetService() == service {
			candidates = append(candidates, c)
			total += c.capacity().Accelerators
			free += max(c.free.Accelerators, 0)
		}
	}
	if float64(total-free) < minHeadroomUse*float64(total) {
		return
	}
	target := min(p.headroom.target(service, now.BootTime), int64(maxHeadroomShare*float64(total)))
	slices.SortFunc(candidates, func(x, y *candidate) int {
		return cmp.Or(
			cmp.Compare(x.slowdown, y.slowdown),
			cmp.Compare(y.free.Accelerators, x.free.Accelerators),
			cmp.Compare(x.agent, y.agent),
		)
	})
	for _, c := range candidates {
		if target <= 0 {
			return
		}
		c.headroom = true
		target -= c.free.Accelerators
	}
}

// withoutHeadroom returns the candidate sets without the executors that are kept free.
func withoutHeadroom(candidateSets [][]*candidate) [][]*candidate {
	filtered := make([][]*candidate, 0, len(candidateSets))
	for _, candidates := range candidateSets {
		filtered = append(filtered, slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool {
			return c.headroom
		}))
	}
	return filtered
}
