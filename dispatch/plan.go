package dispatch

import (
	"cmp"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// assignment holds the candidate chosen for each task of a unit, in task order.
type assignment []*candidate

// reserve subtracts the resources of one task from each chosen candidate.
func (a assignment) reserve(request cell.Capacity) {
	for _, c := range a {
		c.free = c.free.Minus(request)
	}
}

// maxPreemptingUnits limits the unguaranteed urgent units per pass for which preemption is considered.
const maxPreemptingUnits = 4

// replanInterval is how often pending work is planned again without a change.
const replanInterval = 100 * time.Millisecond

// Plan places pending work. It is called after every event and returns early if nothing has changed that could allow a
// placement. With a long queue, the cost of a pass is bounded by the number of distinct groups: once one task of a
// group doesn't fit, the rest of the group is skipped.
func (p *Planner) Plan(now Instant) {
	if !p.replan && now.BootTime-p.lastPlannedAt < replanInterval {
		return
	}
	p.replan = false
	p.lastPlannedAt = now.BootTime
	p.openDueOccurrences(now)
	p.learnRunTimes(now)
	snap := p.newSnapshot(now)
	for _, u := range p.units(snap.demand, now) {
		p.placeUnit(snap, u, now)
	}
	p.migrateFromSlow(snap, now)
}

func (p *Planner) openDueOccurrences(now Instant) {
	for _, j := range p.jobs {
		for j.active() && j.openedOccurrences < j.spec.GetOccurrences() &&
			(j.openedOccurrences == 0 || j.dueMs(j.openedOccurrences) <= now.WallMs) {
			j.openOccurrence(j.openedOccurrences)
		}
	}
}

func (p *Planner) placeUnit(snap *cellSnapshot, u *schedulingUnit, now Instant) {
	if snap.unplaceable[u.group] {
		return
	}
	snap.ignoreIsolation = snap.hasIsolated && u.mustStart(p.config)
	p.startIsolation(u, now)
	racks := p.racks(snap, u.group)
	if chosen := p.placeNow(snap, u, racks, now); chosen != nil {
		if !p.waitsForSpeed(snap, u, racks, chosen, now) {
			p.assign(u, chosen, now)
		}
		return
	}
	if u.waitsForIsolation(now) {
		return
	}
	if !u.guaranteed {
		snap.unplaceable[u.group] = true
		if u.priority != 0 || u.overdue || snap.preemptingUnits >= maxPreemptingUnits {
			p.reserveExpectedRelease(snap, u, racks, now)
			return
		}
		snap.preemptingUnits++
	}
	if !p.waitForRelease(snap, u, racks, now) {
		p.preempt(snap, u, p.bySpeed(snap, u, p.placementOptions(racks, u)), p.maxPreemptionCost(u), now)
	}
}

// placeNow returns where a unit fits now, or nil if it doesn't.
func (p *Planner) placeNow(
	snap *cellSnapshot, u *schedulingUnit, racks rackedCandidates, now Instant,
) assignment {
	constraints := p.constraintsOf(u.group)
	if snap.knownNotToFit(u, constraints) {
		return nil
	}
	options := p.placementOptions(racks, u)
	candidateSets := p.candidateSets(snap, u, options, now)
	candidateSets = append(p.uniformOptions(snap, u, candidateSets), p.bySpeed(snap, u, candidateSets)...)
	for _, candidates := range append(snap.withoutRecentFailures(u, candidateSets), candidateSets...) {
		if chosen := p.pack(snap, u, candidates, freeNow); chosen != nil {
			return chosen
		}
	}
	if len(options) > 0 && len(options[len(options)-1]) == len(racks.all) {
		snap.noteNotFitting(u, constraints)
	}
	return nil
}

// candidateSets returns the placement options as candidate sets to try now, in the same order.
func (p *Planner) candidateSets(
	snap *cellSnapshot, u *schedulingUnit, options [][]*candidate, now Instant,
) [][]*candidate {
	if !u.deferrable {
		return options
	}
	p.markHeadroom(snap, p.queue(u.group.job.spec).Service, now)
	return withoutHeadroom(options)
}

// placementOptions returns the candidate sets to try, in order of preference. A set on which the unit runs
// RemoteSlowdown times as long is included only once the unit can no longer wait for a better one.
func (p *Planner) placementOptions(racked rackedCandidates, u *schedulingUnit) [][]*candidate {
	step := u.group.step
	racks, all := racked.racks, racked.all
	maxWait := p.work(u.group)
	if u.guaranteed {
		maxWait = p.config.maxWait()
	}
	canWait := u.waitTime < maxWait
	preferred := racks
	if step.GetDataRack() != "" && len(racks) > 0 && racks[0][0].hasLabel(step.GetDataRack()) {
		preferred = racks[:1]
	}
	var candidateSets [][]*candidate
	switch {
	case step.GetGang() && step.GetSameRack():
		candidateSets = append(candidateSets, preferred...)
	case step.GetDataRack() != "":
		candidateSets = append(candidateSets, slices.Concat(preferred...))
	default:
		return [][]*candidate{all}
	}
	if canWait {
		return candidateSets
	}
	if len(preferred) < len(racks) && step.GetSameRack() {
		candidateSets = append(candidateSets, racks[len(preferred):]...)
	}
	return append(candidateSets, all)
}

// pack assigns each task by best fit, to the candidate left with the fewest free resources. It returns nil unless all
// tasks fit.
func (p *Planner) pack(
	snap *cellSnapshot, u *schedulingUnit, candidates []*candidate, freeOf func(c *candidate) cell.Capacity,
) assignment {
	request := requestedResources(u.group.step)
	for _, c := range candidates {
		c.available = freeOf(c)
	}
	tasksByAgent := snap.countTasksByAgent(u.group)
	chosen := make(assignment, 0, len(u.tasks))
	for _, t := range u.tasks {
		best := snap.bestCandidate(candidates, request, u, t, tasksByAgent)
		if best == nil {
			return nil
		}
		best.available = best.available.Minus(request)
		if tasksByAgent != nil {
			tasksByAgent[best.agent]++
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func freeNow(c *candidate) cell.Capacity {
	return c.free
}

func (snap *cellSnapshot) bestCandidate(
	candidates []*candidate, request cell.Capacity, u *schedulingUnit, t *task, tasksByAgent map[string]int,
) *candidate {
	var best *candidate
	for _, c := range candidates {
		if !c.available.Covers(request) || spreadExhausted(t.group.step, tasksByAgent[c.agent]) ||
			!snap.allowsTask(c, t, tasksByAgent) {
			continue
		}
		if best == nil || compareCandidates(c, best, u, t) < 0 {
			best = c
		}
	}
	return best
}

// compareCandidates prefers a candidate other than those where the task or its gang last failed, then one other than
// those that crashed under it, then one with fewer failed tasks, then one that is fast enough and no faster, then one
// where tasks slow each other less, and then the tightest fit.
func compareCandidates(x, y *candidate, u *schedulingUnit, t *task) int {
	avoided := t.attempts().avoided
	if order := -compareTrueFirst(avoided[x.agent], avoided[y.agent]); order != 0 {
		return order
	}
	if order := -compareTrueFirst(t.crashes.crashedOn(x.agent), t.crashes.crashedOn(y.agent)); order != 0 {
		return order
	}
	if order := cmp.Compare(len(x.health.failed), len(y.health.failed)); order != 0 {
		return order
	}
	if order := u.compareSpeeds(x, y); order != 0 {
		return order
	}
	if order := u.compareNeighbours(x, y); order != 0 {
		return order
	}
	if order := cmp.Compare(x.available.Accelerators, y.available.Accelerators); order != 0 {
		return order
	}
	if order := cmp.Compare(x.available.CPUMillis, y.available.CPUMillis); order != 0 {
		return order
	}
	return cmp.Compare(x.agent, y.agent)
}

// spreadExhausted reports whether an executor already holds the maximum number of the step's tasks.
func spreadExhausted(step *cellpb.Step, placed int) bool {
	return step.GetSpread() > 0 && placed >= int(step.GetSpread())
}

// countTasksByAgent counts the group's current runs by agent. It returns nil if no placement depends on the counts.
func (snap *cellSnapshot) countTasksByAgent(g *group) map[string]int {
	if g.step.GetSpread() == 0 && !snap.hasUnreliable {
		return nil
	}
	counts := map[string]int{}
	for _, t := range g.tasks {
		if t.run != nil {
			counts[t.run.agent]++
		}
	}
	return counts
}

func (p *Planner) assign(u *schedulingUnit, chosen assignment, now Instant) {
	runNumber := int32(0)
	for _, t := range u.tasks {
		runNumber = max(runNumber, t.runNumber)
	}
	checkpoint := gangCheckpoint(u)
	request := requestedResources(u.group.step)
	expected := p.duration(u, chosen)
	for i, t := range u.tasks {
		c := chosen[i]
		c.free = c.free.Minus(request)
		c.idle = false
		p.logNeighbours(u, t, c)
		c.noteRun(t)
		t.runNumber = runNumber + 1
		if u.group.step.GetGang() {
			t.checkpoint = checkpoint
		}
		p.addRun(&taskRun{
			task:           t,
			runNumber:      t.runNumber,
			agent:          c.agent,
			incarnation:    c.incarnation,
			batch:          p.batch,
			startedAt:      now.BootTime,
			checkpointedAt: now.BootTime,
		})
		u.group.job.history.addRun(now.BootTime)
		p.config.Log("run ordered", "task", t.id.String(), "run", t.runNumber, "agent", c.agent, "executor", c.incarnation,
			"config", p.operations.Config.Version, "reported", (now.BootTime - c.reportedAt).Milliseconds(),
			"guaranteed", u.guaranteed, "slack", u.slack.Milliseconds(), "slowdown", percent(c.slowdown),
			"expected", expected.Milliseconds(), "cores", int64(coreEquivalents(u.group.step)))
	}
	u.group.job.dirty = true
}

// gangCheckpoint returns the checkpoint from which all members of a gang start. Any member's checkpoint is valid for
// all of them.
func gangCheckpoint(u *schedulingUnit) string {
	checkpoint := ""
	for _, t := range u.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	return checkpoint
}
