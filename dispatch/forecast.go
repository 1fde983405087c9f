package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
)

// expectedEnd is the expected end of a run, which releases its resources.
type expectedEnd struct {
	run       *taskRun
	candidate *candidate
	timeLeft  time.Duration
}

// remaining is the expected time until a run ends, based on its progress or, without any, on the estimate.
func (p *Planner) remaining(run *taskRun, now Instant) time.Duration {
	if run.stopping {
		return p.config.StopGrace
	}
	elapsed := now.BootTime - run.startedAt
	progressed := run.percent - run.basePercent
	if !run.running || progressed <= 0 {
		expected := p.runTime(run) - run.earlierRunTime
		if elapsed > expected {
			// A run without progress that exceeds its estimate is not expected to end soon.
			return elapsed
		}
		return expected - elapsed
	}
	total := (run.progressedClock - run.startedClock) * time.Duration(100-run.basePercent) / time.Duration(progressed)
	return max(total-elapsed, 0)
}

// expectedFit returns where and when the unit is expected to fit on some of the candidates as running tasks end, or nil
// if it never does.
func (p *Planner) expectedFit(
	snap *cellSnapshot, u *schedulingUnit, candidates []*candidate, now Instant,
) (assignment, time.Duration) {
	ends := p.expectedEndsAt(snap, candidates, now)
	packAfter := func(count int) assignment {
		for _, c := range candidates {
			c.expectedRelease = cell.Capacity{}
		}
		for _, end := range ends[:count] {
			end.candidate.expectedRelease = end.candidate.expectedRelease.Plus(requestedResources(end.run.task.group.step))
		}
		return p.pack(snap, u, candidates, (*candidate).freeAfterEnds)
	}
	needed := sort.Search(len(ends), func(count int) bool { return packAfter(count+1) != nil })
	if needed == len(ends) {
		return nil, 0
	}
	return packAfter(needed + 1), ends[needed].timeLeft
}

// earliestFit returns where and when the unit is expected to fit among the candidate sets so that it ends first, or nil
// if it fits in none.
func (p *Planner) earliestFit(
	snap *cellSnapshot, u *schedulingUnit, candidateSets [][]*candidate, now Instant,
) (assignment, time.Duration) {
	var best assignment
	var earliestFit, earliestEnd time.Duration
	for _, candidates := range candidateSets {
		chosen, delay := p.expectedFit(snap, u, candidates, now)
		if chosen == nil {
			continue
		}
		end := delay
		if snap.uneven {
			end += p.duration(u, chosen)
		}
		if best == nil || end < earliestEnd {
			best, earliestFit, earliestEnd = chosen, delay, end
		}
	}
	return best, earliestFit
}

// expectedEndsAt returns the expected ends of the runs on some candidates, the earliest first.
func (p *Planner) expectedEndsAt(snap *cellSnapshot, candidates []*candidate, now Instant) []expectedEnd {
	for _, c := range snap.candidates {
		c.included = false
	}
	for _, c := range candidates {
		c.included = true
	}
	var ends []expectedEnd
	for _, end := range p.expectedEnds(snap, now) {
		if end.candidate.included {
			ends = append(ends, end)
		}
	}
	return ends
}

// expectedEnds returns the expected ends of all runs, the earliest first.
func (p *Planner) expectedEnds(snap *cellSnapshot, now Instant) []expectedEnd {
	if snap.sortedEnds != nil {
		return snap.sortedEnds
	}
	p.eachRun(func(run *taskRun) {
		if c, ok := snap.byIncarnation[run.incarnation]; ok {
			snap.sortedEnds = append(snap.sortedEnds, expectedEnd{
				run:       run,
				candidate: c,
				timeLeft:  p.remaining(run, now),
			})
		}
	})
	slices.SortFunc(snap.sortedEnds, func(x, y expectedEnd) int {
		if order := cmp.Compare(x.timeLeft, y.timeLeft); order != 0 {
			return order
		}
		return compareTasks(x.run.task, y.run.task)
	})
	return snap.sortedEnds
}

// compareTasks defines a total order that is stable across planning passes.
func compareTasks(x, y *task) int {
	if x.group == y.group {
		return cmp.Compare(x.id.Index, y.id.Index)
	}
	if order := strings.Compare(x.id.Job, y.id.Job); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(x.id.Occurrence, y.id.Occurrence), cmp.Compare(x.id.Step, y.id.Step))
}

// freeAfterEnds returns the free resources of a candidate after the expected ends under consideration.
func (c *candidate) freeAfterEnds() cell.Capacity {
	return c.free.Plus(c.expectedRelease)
}

// maxLateShare is the share of its objective by which urgent work may be late and still preempt other work. Estimates
// are inaccurate, but preempting for work that is certainly late gains little.
const maxLateShare = 0.3

// waitForRelease reports whether a unit should wait for resources to be released rather than preempt other work. If so,
// it reserves these resources, which lower-ranked units would otherwise take.
func (p *Planner) waitForRelease(snap *cellSnapshot, u *schedulingUnit, racks rackedCandidates, now Instant) bool {
	if !u.guaranteed && u.slack < -time.Duration(maxLateShare*float64(p.objective(u.group.job))) {
		p.reserveExpectedRelease(snap, u, racks, now)
		return true
	}
	chosen, delay := p.earliestFit(snap, u, p.bySpeed(snap, u, p.placementOptions(racks, u)), now)
	if chosen == nil || delay >= u.minSlack/2 || (u.guaranteed && u.waitTime+delay >= p.config.maxWait()) {
		return false
	}
	chosen.reserve(requestedResources(u.group.step))
	return true
}

// maxReservations limits the reservations per planning pass, since each one costs planning time.
const maxReservations = 6

// reserveExpectedRelease reserves for a unit the resources that are expected to be released first. Without it, many
// small tasks starve gangs of a higher priority: each released piece is too small for a gang and goes to a small task.
func (p *Planner) reserveExpectedRelease(snap *cellSnapshot, u *schedulingUnit, racks rackedCandidates, now Instant) {
	if u.overdue || snap.reservations >= maxReservations {
		return
	}
	snap.reservations++
	candidateSets := p.bySpeed(snap, u, p.candidateSets(snap, u, p.placementOptions(racks, u), now))
	if chosen, _ := p.earliestFit(snap, u, candidateSets, now); chosen != nil {
		chosen.reserve(requestedResources(u.group.step))
	}
}
