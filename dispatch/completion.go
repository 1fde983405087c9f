package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// longestTaskShare is the run time of the longest task of a step relative to that of a typical one, as far as callers'
// tasks usually differ. A gang ends with its longest task.
const longestTaskShare = 1.2

// speedLimit returns the largest slowdown of the executors on which a unit that starts now ends in time: by its
// objective or, if no executor is fast enough for that, while its result still has a value. It is +Inf if it is too
// late for either, or if all executors are equally fast.
func (p *Planner) speedLimit(g *group, objective, age time.Duration) float64 {
	if !p.runTimes.Uneven() {
		return math.Inf(1)
	}
	longest := longestTaskShare * p.work(g).Seconds()
	for _, end := range []time.Duration{objective, overdueFactor * objective} {
		limit := (end - age - p.workAfter(g)).Seconds() / longest
		if limit >= p.runTimes.Fastest() {
			return limit
		}
	}
	return math.Inf(1)
}

// workAfter is the expected run time of the longest chain of steps that depend on a group's step.
func (p *Planner) workAfter(g *group) time.Duration {
	steps := g.job.spec.GetSteps()
	after := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		for _, dependency := range steps[i].GetDependsOn() {
			after[dependency] = max(after[dependency], after[i]+p.stepWork(g.job, int32(i)))
		}
	}
	return after[g.stepIndex]
}

// compareSpeeds prefers, among executors on which a unit ends in time, the slower ones, and leaves the faster ones to
// work that needs them. Otherwise it prefers the faster ones.
func (u *schedulingUnit) compareSpeeds(x, y *candidate) int {
	if x.slowdown <= u.speedLimit && y.slowdown <= u.speedLimit {
		return cmp.Compare(y.slowdown, x.slowdown)
	}
	return cmp.Compare(x.slowdown, y.slowdown)
}

// bySpeed puts the parts of placement options on which a unit ends in time before the options themselves.
func (p *Planner) bySpeed(snap *cellSnapshot, u *schedulingUnit, options [][]*candidate) [][]*candidate {
	if !snap.uneven {
		return options
	}
	return append(p.timelyOptions(u, options), options...)
}

// timelyOptions returns the parts of placement options on which a unit ends in time, as far as they aren't whole
// options. An option over several racks counts with the slowdown that these cause.
func (p *Planner) timelyOptions(u *schedulingUnit, options [][]*candidate) [][]*candidate {
	var timely [][]*candidate
	for _, candidates := range options {
		limit := u.speedLimit / p.remoteFactorOf(u, candidates)
		part := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.slowdown > limit })
		if len(part) > 0 && len(part) < len(candidates) {
			timely = append(timely, part)
		}
	}
	return timely
}

// uniformOptions returns, for a gang, the parts of placement options with equally fast executors on which it ends in
// time, the slowest first. A gang ends with its slowest member, so that faster executors beside it are held in vain.
func (p *Planner) uniformOptions(snap *cellSnapshot, u *schedulingUnit, options [][]*candidate) [][]*candidate {
	if !snap.uneven || !u.group.step.GetGang() || len(u.tasks) == 1 {
		return nil
	}
	var uniform [][]*candidate
	for _, slowdown := range snap.slowdowns {
		for _, candidates := range options {
			if slowdown*p.remoteFactorOf(u, candidates) > u.speedLimit {
				continue
			}
			part := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.slowdown != slowdown })
			if len(part) > 0 && len(part) < len(candidates) {
				uniform = append(uniform, part)
			}
		}
	}
	return uniform
}

// remoteFactorOf is the factor by which a unit may take longer on a set of candidates because of the racks they are in.
func (p *Planner) remoteFactorOf(u *schedulingUnit, candidates []*candidate) float64 {
	step := u.group.step
	for _, c := range candidates {
		if step.GetDataRack() != "" && !c.hasLabel(step.GetDataRack()) {
			return p.config.RemoteSlowdown
		}
		if step.GetGang() && step.GetSameRack() && c.rack() != candidates[0].rack() {
			return p.config.RemoteSlowdown
		}
	}
	return 1
}

// slowest returns the slowdown of the slowest chosen candidate.
func (a assignment) slowest() float64 {
	slowest := 0.0
	for _, c := range a {
		slowest = max(slowest, c.slowdown)
	}
	return slowest
}

// duration is the expected time until a unit that starts on some candidates has ended.
func (p *Planner) duration(u *schedulingUnit, chosen assignment) time.Duration {
	work := float64(p.work(u.group)) * p.remoteFactorOf(u, chosen)
	return time.Duration(longestTaskShare * work * chosen.slowest())
}

// isTimely reports whether a unit that starts on some candidates after a delay ends in time.
func (p *Planner) isTimely(u *schedulingUnit, chosen assignment, delay time.Duration) bool {
	if math.IsInf(u.speedLimit, 1) {
		return true
	}
	latest := time.Duration(u.speedLimit * longestTaskShare * float64(p.work(u.group)))
	return delay+p.duration(u, chosen) <= latest
}

// waitsForSpeed reports whether a unit that would be late on the candidates chosen for it leaves them, because it ends
// in time on faster ones: on those that are released soon, which are reserved for it, or on those from which other work
// is preempted at a bounded cost.
func (p *Planner) waitsForSpeed(
	snap *cellSnapshot, u *schedulingUnit, racks rackedCandidates, chosen assignment, now Instant,
) bool {
	if !snap.uneven || p.isTimely(u, chosen, 0) || snap.speedWaits >= maxSpeedWaits {
		return false
	}
	snap.speedWaits++
	timely := p.timelyOptions(u, p.placementOptions(racks, u))
	released, delay := p.earliestFit(snap, u, timely, now)
	withinLimit := !u.guaranteed || u.waitTime+delay < p.config.maxWait()
	if released != nil && withinLimit && p.isTimely(u, released, delay) {
		released.reserve(requestedResources(u.group.step))
		return true
	}
	return u.priority == 0 && p.preempt(snap, u, timely, maxPreemptionCostShare*p.expectedWork(u), now)
}

// maxSpeedWaits limits the units per pass that may wait for faster executors, since each one costs planning time.
const maxSpeedWaits = 8
