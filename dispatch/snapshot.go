package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// cellSnapshot is the state of the cell in one planning pass.
type cellSnapshot struct {
	now           time.Duration
	candidates    []*candidate
	byIncarnation map[string]*candidate
	// demand holds the accelerators that each workspace's work of priority 0 requires.
	demand map[string]int64
	// unplaceable holds the groups with a task that didn't fit in this pass.
	unplaceable map[*group]bool
	// preemptingUnits counts the unguaranteed units for which preemption was considered in this pass.
	preemptingUnits int
	// reservations counts the pending units for which resources were reserved in this pass.
	reservations int
	// racksByConstraints caches the schedulable candidates by rack for groups with equal constraints; sortedEnds caches
	// the expected ends of all runs. Both are constant throughout a pass.
	racksByConstraints map[placementConstraints]rackedCandidates
	sortedEnds         []expectedEnd
	// racks returns the schedulable candidates for a group.
	racks func(g *group) rackedCandidates
	// healthy holds the agents of the healthy candidates for healthyFor, the group that is being placed. It is read for
	// each unreliable candidate and task.
	healthy    []string
	healthyFor *group
	// hasUnreliable and hasRecentFailures report whether there are unreliable candidates and candidates on which a run
	// failed recently.
	hasUnreliable     bool
	hasRecentFailures bool
	// notFitting holds, for constraints, the smallest number of tasks that didn't fit in this pass. Free resources
	// never grow during a pass, so a later unit of as many tasks doesn't fit either.
	notFitting map[fitKey]int
	// projectedTotals caches the projected run times of the runs of a queue, in ascending order.
	projectedTotals map[string][]time.Duration
	// hasIsolated and halfIsolated are set if any, or half, of the schedulable candidates are isolated, ignoreIsolation
	// while a unit is placed that can't wait any longer.
	hasIsolated     bool
	halfIsolated    bool
	ignoreIsolation bool
	// uneven is set if executors differ in speed, slowdowns holds their distinct slowdowns, the largest first, and
	// speedWaits counts the units for which a wait for faster executors was considered.
	uneven     bool
	slowdowns  []float64
	speedWaits int
	// headroomMarked holds the services whose headroom was marked in this pass.
	headroomMarked map[string]bool
}

// fitKey identifies units that fit on the same candidates if they have the same number of tasks.
type fitKey struct {
	constraints placementConstraints
	gang        bool
	// deferrable units fit on fewer candidates.
	deferrable bool
}

// newSnapshot returns the state for a planning pass, after stalled runs were stopped and surplus starts withdrawn.
func (p *Planner) newSnapshot(now Instant) *cellSnapshot {
	p.clearSurvivors()
	snap := p.viewSnapshot(now)
	p.withdrawExcessStarts(snap, now)
	snap.noteIsolation()
	p.checkRuns(snap, now)
	for _, c := range snap.candidates {
		snap.hasUnreliable = snap.hasUnreliable || c.unreliable()
	}
	return snap
}

// viewSnapshot returns the state of the cell without changing anything.
func (p *Planner) viewSnapshot(now Instant) *cellSnapshot {
	snap := &cellSnapshot{
		now:                now.BootTime,
		byIncarnation:      map[string]*candidate{},
		demand:             p.guaranteedDemand(),
		unplaceable:        map[*group]bool{},
		racksByConstraints: map[placementConstraints]rackedCandidates{},
		notFitting:         map[fitKey]int{},
		headroomMarked:     map[string]bool{},
		projectedTotals:    map[string][]time.Duration{},
	}
	snap.racks = func(g *group) rackedCandidates { return p.racks(snap, g) }
	ignoreQuarantine := p.mostQuarantined(now)
	for _, e := range p.executors {
		if e.state == nil || !e.epochConfirmed {
			continue
		}
		c := &candidate{
			executor:    e,
			free:        e.capacity(),
			schedulable: p.schedulable(e, now) && (ignoreQuarantine || e.health.schedulable(now.BootTime)),
			slowdown:    p.runTimes.Slowdown(e.agent),
		}
		if p.runTimes.Interferes() {
			c.kinds = map[string]int{}
		}
		snap.candidates = append(snap.candidates, c)
		snap.byIncarnation[e.incarnation] = c
	}
	slices.SortFunc(snap.candidates, func(x, y *candidate) int { return strings.Compare(x.agent, y.agent) })
	snap.noteSpeeds()
	for _, c := range snap.candidates {
		p.subtractRuns(c)
		p.subtractOrphans(c)
		c.reservedFrom = c.free
	}
	snap.noteIsolation()
	for _, c := range snap.candidates {
		c.slow = now.BootTime < c.slowUntil
		c.failedRecently = c.health.failedRecently(now.BootTime)
		snap.hasRecentFailures = snap.hasRecentFailures || c.failedRecently
		snap.hasUnreliable = snap.hasUnreliable || c.unreliable()
	}
	return snap
}

func (snap *cellSnapshot) noteSpeeds() {
	for _, c := range snap.candidates {
		if !slices.Contains(snap.slowdowns, c.slowdown) {
			snap.slowdowns = append(snap.slowdowns, c.slowdown)
		}
	}
	slices.SortFunc(snap.slowdowns, func(x, y float64) int { return cmp.Compare(y, x) })
	snap.uneven = len(snap.slowdowns) > 1
}

// clearSurvivors clears tasks of earlier crashes whose runs have lasted well beyond them.
func (p *Planner) clearSurvivors() {
	for _, e := range p.executors {
		if e.state == nil || !e.epochConfirmed {
			continue
		}
		for run := range p.runsByAgent[e.agent] {
			if run.incarnation == e.incarnation {
				p.clearSurvivor(e, run)
			}
		}
	}
}

func (u *schedulingUnit) fitKey(constraints placementConstraints) fitKey {
	return fitKey{
		constraints: constraints,
		gang:        u.group.step.GetGang(),
		deferrable:  u.deferrable,
	}
}

// knownNotToFit reports whether a unit with these constraints and no more tasks didn't fit earlier in the pass.
func (snap *cellSnapshot) knownNotToFit(u *schedulingUnit, constraints placementConstraints) bool {
	failed, ok := snap.notFitting[u.fitKey(constraints)]
	return ok && len(u.tasks) >= failed && !snap.ignoreIsolation
}

// noteNotFitting records that a unit fits on none of the candidates, unless conditions of its own kept it from fitting.
func (snap *cellSnapshot) noteNotFitting(u *schedulingUnit, constraints placementConstraints) {
	if u.group.step.GetSpread() > 0 || u.group.gangAttempts.failures.runs > 0 || snap.hasIsolated {
		return
	}
	for _, t := range u.tasks {
		if t.ownAttempts.failures.runs > 0 || len(t.attempts().avoided) > 0 || t.crashes.suspect {
			return
		}
	}
	key := u.fitKey(constraints)
	if failed, ok := snap.notFitting[key]; !ok || len(u.tasks) < failed {
		snap.notFitting[key] = len(u.tasks)
	}
}
