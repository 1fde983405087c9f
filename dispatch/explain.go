package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// Decisions of an explanation.
const (
	decisionStarts   = "starts"
	decisionWaits    = "waits"
	decisionPreempts = "preempts"
	decisionRejected = "rejected"
	decisionRuns     = "runs"
	decisionEnded    = "ended"
)

// maxExplainedUnits bounds the pending units that are considered before the one in question.
const maxExplainedUnits = 1000

// Explain returns what would become of a job now, or what a known job waits for. It uses the rules of Plan on a copy of
// the state, and changes nothing.
func (p *Planner) Explain(request *cellpb.Explain, now Instant) *cellpb.Explanation {
	j, ok := p.jobs[request.GetId()]
	if !ok {
		if request.GetJob() == nil {
			return &cellpb.Explanation{
				Decision: decisionRejected,
				Reason:   "no such job",
				WaitMs:   -1,
			}
		}
		j = newJob(request.GetJob(), now)
		j.openOccurrence(0)
	}
	if !j.active() || j.cancelled {
		return &cellpb.Explanation{
			Decision: decisionEnded,
			Reason:   "the job has ended",
			WaitMs:   -1,
		}
	}
	return p.explainGroup(openGroup(j), !ok, now)
}

// openGroup returns the first group of a job that isn't done.
func openGroup(j *job) *group {
	for _, g := range j.groups {
		if !g.done() {
			return g
		}
	}
	return j.groups[len(j.groups)-1]
}

func (p *Planner) explainGroup(g *group, isNew bool, now Instant) *cellpb.Explanation {
	snap := p.viewSnapshot(now)
	demand := maps.Clone(snap.demand)
	if isNew && p.priority(g.job.spec) == 0 {
		demand[g.job.spec.GetWorkspace()] += peakAccelerators(g.job.spec)
	}
	u := p.newUnit(g, demand, now)
	explanation := &cellpb.Explanation{
		WaitMs:      -1,
		RunMs:       p.work(g).Milliseconds(),
		ObjectiveMs: p.objective(g.job).Milliseconds(),
		Guaranteed:  u.guaranteed,
	}
	p.describeExecutors(explanation, g, now)
	if explanation.GetExecutors() == 0 {
		explanation.Decision, explanation.Reason = decisionRejected, "no executor of the service is known"
		return explanation
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(p.executors)), func(e *executor) bool { return p.couldRun(e, g) }) {
		explanation.Decision, explanation.Reason = decisionRejected, "no executor of the service is large enough"
		explanation.Passed = p.passedOver(snap, u, nil, now)
		return explanation
	}
	if places := runningPlaces(p, g); len(places) > 0 {
		explanation.Decision, explanation.Reason = decisionRuns, "its tasks run"
		explanation.Places, explanation.WaitMs = places, 0
		return explanation
	}
	if tasks := pendingTasks(g, now); len(tasks) > 0 && g.ready(now) {
		p.explainUnits(explanation, snap, u, tasks, now)
		return explanation
	}
	explanation.Decision, explanation.Reason = decisionWaits, "an earlier step, its time or the delay after a failure"
	return explanation
}

// explainUnits places the units ahead of a group's, and then the group's, on the copy of the state.
func (p *Planner) explainUnits(
	explanation *cellpb.Explanation, snap *cellSnapshot, shared *schedulingUnit, taskSets [][]*task, now Instant,
) {
	own := *shared
	own.tasks = taskSets[0]
	for i, ahead := range p.units(snap.demand, now) {
		if i == maxExplainedUnits || (ahead.group != own.group && compareUnits(&own, ahead) < 0) {
			break
		}
		if ahead.group != own.group {
			p.reserveAhead(snap, ahead, now)
		}
	}
	explanation.Passed = p.passedOver(snap, &own, nil, now)
	for i, tasks := range taskSets {
		u := *shared
		u.tasks = tasks
		chosen := p.placeNow(snap, &u, p.racks(snap, u.group), now)
		if chosen == nil {
			if i == 0 {
				p.explainWait(explanation, snap, &u, now)
			}
			return
		}
		if i == 0 {
			explanation.Passed = p.passedOver(snap, &u, chosen, now)
			p.explainStart(explanation, snap, &u, chosen, now)
		}
		if explanation.GetDecision() != decisionStarts {
			return
		}
		chosen.reserve(requestedResources(u.group.step))
		explanation.Places = append(explanation.Places, places(&u, chosen)...)
	}
}

// reserveAhead reserves what a unit that comes first takes now or waits for.
func (p *Planner) reserveAhead(snap *cellSnapshot, u *schedulingUnit, now Instant) {
	racks := p.racks(snap, u.group)
	if chosen := p.placeNow(snap, u, racks, now); chosen != nil {
		chosen.reserve(requestedResources(u.group.step))
		return
	}
	p.reserveExpectedRelease(snap, u, racks, now)
}

// explainStart explains a unit that fits now.
func (p *Planner) explainStart(
	explanation *cellpb.Explanation, snap *cellSnapshot, u *schedulingUnit, chosen assignment, now Instant,
) {
	explanation.Decision, explanation.Reason, explanation.WaitMs = decisionStarts, "it fits now", 0
	explanation.InTime = p.endsInTime(u, chosen, 0)
	explanation.RunMs = p.duration(u, chosen).Milliseconds()
	if !snap.uneven || p.isTimely(u, chosen, 0) {
		return
	}
	timely := p.timelyOptions(u, p.placementOptions(p.racks(snap, u.group), u))
	if released, delay := p.earliestFit(snap, u, timely, now); released != nil && p.isTimely(u, released, delay) {
		explanation.Decision, explanation.Reason = decisionWaits, "faster executors are released soon enough"
		explanation.WaitMs, explanation.InTime = delay.Milliseconds(), true
	}
}

// explainWait explains a unit that doesn't fit now.
func (p *Planner) explainWait(explanation *cellpb.Explanation, snap *cellSnapshot, u *schedulingUnit, now Instant) {
	options := p.bySpeed(snap, u, p.placementOptions(p.racks(snap, u.group), u))
	explanation.Decision, explanation.Reason = decisionWaits, "no room, and none is expected"
	released, delay := p.earliestFit(snap, u, options, now)
	if released != nil {
		explanation.Reason, explanation.WaitMs = "room is released", delay.Milliseconds()
		explanation.InTime = p.endsInTime(u, released, delay)
		explanation.RunMs = p.duration(u, released).Milliseconds()
	}
	if u.priority != 0 || u.overdue || (released != nil && delay < u.minSlack/2) {
		return
	}
	plan := p.cheapestPlan(snap, u, options, now)
	if plan == nil || plan.cost > p.maxPreemptionCost(u) {
		return
	}
	explanation.Decision, explanation.Reason = decisionPreempts, "less urgent work is stopped for it"
	explanation.Preempted = int32(len(plan.preemptions))
	explanation.WaitMs = p.config.StopGrace.Milliseconds()
	explanation.Places = places(u, plan.chosen)
	explanation.InTime = p.endsInTime(u, plan.chosen, p.config.StopGrace)
}

// endsInTime reports whether a unit that starts on some candidates after a delay ends by its job's objective.
func (p *Planner) endsInTime(u *schedulingUnit, chosen assignment, delay time.Duration) bool {
	return u.waitTime+delay+p.duration(u, chosen)+p.workAfter(u.group) <= p.objective(u.group.job)
}

// describeExecutors counts the executors of a group's service, and notes the age of the oldest report that counts.
func (p *Planner) describeExecutors(explanation *cellpb.Explanation, g *group, now Instant) {
	service := p.queue(g.job.spec).Service
	for _, e := range p.executors {
		if e.state == nil || e.state.GetService() != service {
			continue
		}
		explanation.Executors++
		if age := now.BootTime - e.reportedAt; age <= p.config.ReportTimeout {
			explanation.AgeMs = max(explanation.GetAgeMs(), age.Milliseconds())
		}
	}
}

// couldRun reports whether an executor could ever run tasks of a group.
func (p *Planner) couldRun(e *executor, g *group) bool {
	return e.state != nil && e.state.GetService() == p.queue(g.job.spec).Service &&
		e.hasLabel(g.step.GetRequiredLabel()) && e.largest.Covers(requestedResources(g.step))
}

func places(u *schedulingUnit, chosen assignment) []*cellpb.Place {
	var listed []*cellpb.Place
	for i, c := range chosen {
		listed = append(listed, &cellpb.Place{
			Task:     u.tasks[i].id.Index,
			Agent:    c.agent,
			Executor: c.state.GetId(),
			Slowdown: int32(percent(c.slowdown)),
		})
	}
	return listed
}

// runningPlaces returns where the runs of a group are.
func runningPlaces(p *Planner, g *group) []*cellpb.Place {
	var listed []*cellpb.Place
	for _, t := range g.tasks {
		if t.run == nil {
			continue
		}
		executorID, _, _ := strings.Cut(t.run.incarnation, "/")
		listed = append(listed, &cellpb.Place{
			Task:     t.id.Index,
			Agent:    t.run.agent,
			Executor: executorID,
			Slowdown: int32(percent(p.runTimes.Slowdown(t.run.agent))),
		})
	}
	return listed
}
