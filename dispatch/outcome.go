package dispatch

import (
	"slices"
	"strings"

	"radishpath.example/radishpath/cell/cellpb"
)

// end processes the end of a run. It ignores an end that doesn't belong to the task's current run.
func (p *Planner) end(e *executor, end *cellpb.EndedTask, now Instant) {
	t := p.findTask(end.GetTask())
	if t == nil || t.run == nil || t.run.runNumber != end.GetRun() || t.run.incarnation != e.incarnation {
		return
	}
	run := t.run
	p.removeRun(run)
	j := t.group.job
	j.dirty = true
	j.begun = true
	j.state = max(j.state, cellpb.State_STATE_RUNNING)
	if end.GetCheckpoint() != "" {
		t.checkpoint = end.GetCheckpoint()
	}
	lost := 0.0
	if end.GetKind() != cellpb.EndKind_END_KIND_DONE {
		lost = lostWork(run, now)
	}
	j.history.addOutcome(endOutcome(end.GetKind()), lost)
	p.config.Log("run ended", "task", end.GetTask(), "run", end.GetRun(), "agent", e.agent,
		"kind", end.GetKind().String(), "ran", (now.BootTime - run.startedAt).Milliseconds(), "lost", lost)
	switch end.GetKind() {
	case cellpb.EndKind_END_KIND_DONE:
		p.recordSuccess(e, run, now)
	case cellpb.EndKind_END_KIND_FAILED:
		// A gang that is done needs no other end of its members.
		if !t.done {
			p.recordFailure(e, run, now)
		}
	default:
		p.stopGang(t.group, reasonMemberEnded, now)
	}
}

// endOutcome names the kind of a run's end in a job's history.
func endOutcome(kind cellpb.EndKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "END_KIND_"))
}

func (p *Planner) recordSuccess(e *executor, run *taskRun, now Instant) {
	t := run.task
	e.health.resetFailures()
	if t.group.step.GetPersistent() {
		p.stopGang(t.group, reasonMemberEnded, now)
		return
	}
	p.noteCompletion(run, now)
	t.done = true
	if t.group.step.GetGang() {
		for _, member := range t.group.tasks {
			member.done = true
		}
	}
	p.endIfDone(t.group.job, now)
}

func (p *Planner) recordFailure(e *executor, run *taskRun, now Instant) {
	t := run.task
	a := t.attempts()
	counted := a.noteFailure(run, now)
	if counted {
		p.attributeFailure(e, a, now)
	}
	p.stopGang(t.group, reasonMemberFailed, now)
	limit := int32(p.queue(t.group.job.spec).MaxFailures)
	p.config.Log("run failed", "task", t.id.String(), "run", run.runNumber, "agent", e.agent,
		"gang", t.group.step.GetGang(), "counted", counted, "restored", run.restored,
		"failures", a.failures.runs, "limit", limit)
	p.countGangFailure(t.group, counted)
	if t.group.step.GetPersistent() || a.failures.runs < limit || !t.group.job.active() {
		return
	}
	p.close(t.group.job, cellpb.State_STATE_FAILED, closedByFailures, now)
}

// countGangFailure counts the failed end of a gang's member for the metrics.
func (p *Planner) countGangFailure(g *group, counted bool) {
	switch {
	case !g.step.GetGang():
	case counted:
		p.config.Count("gang_failures", "first member")
	default:
		p.config.Count("gang_failures", "other member")
	}
}

// attributeFailure attributes a failed run to its task or gang if that has failed on several executors, and to the
// executor otherwise, which for a gang is the one whose end arrived first. Other tasks of the same job may fail because
// of their executors all the same.
func (p *Planner) attributeFailure(e *executor, a *attempts, now Instant) {
	if a.failedEverywhere() {
		for agent := range a.failedAgents {
			p.executors[agent].health.remove(a)
		}
		return
	}
	if e.health.recordFailure(a, now.BootTime) {
		p.config.Log("executor quarantined", "agent", e.agent, "executor", e.incarnation,
			"failing", len(e.health.failed), "for", e.health.quarantineDuration.Milliseconds())
	}
}

// stopReason is why a run is stopped, as written to the log.
type stopReason string

const (
	reasonPreempted      stopReason = "preempted"
	reasonStalled        stopReason = "stalled"
	reasonDraining       stopReason = "executor draining"
	reasonSlow           stopReason = "executor slow"
	reasonCancelled      stopReason = "job cancelled"
	reasonJobEnded       stopReason = "job ended"
	reasonMemberEnded    stopReason = "gang member ended"
	reasonMemberFailed   stopReason = "gang member failed"
	reasonMemberLost     stopReason = "gang member lost"
	reasonMemberRejected stopReason = "gang member rejected"
)

// stopGang stops the remaining members of a gang after one of its runs has ended or is being stopped.
func (p *Planner) stopGang(g *group, reason stopReason, now Instant) {
	if !g.step.GetGang() || g.done() {
		return
	}
	for _, t := range g.tasks {
		p.stopRun(t.run, reason, now)
	}
}

// stopIncompleteGangs stops the gangs of a restored job of whose newest run a member has ended. The earlier scheduler
// may not have stopped the other members, and the record doesn't say whether it did.
func (p *Planner) stopIncompleteGangs(j *job, now Instant) {
	for _, g := range j.groups {
		if slices.ContainsFunc(g.tasks, func(t *task) bool { return t.run == nil }) {
			p.stopGang(g, reasonMemberEnded, now)
		}
	}
}

// stopRun stops a run. An order that was not sent yet is withdrawn.
func (p *Planner) stopRun(run *taskRun, reason stopReason, now Instant) {
	if run == nil || run.stopping {
		return
	}
	p.config.Log("stopping run", "task", run.task.id.String(), "run", run.runNumber, "agent", run.agent,
		"reason", string(reason), "sent", run.sent, "lost", lostWork(run, now))
	run.task.group.job.history.addOutcome("stop: "+string(reason), 0)
	if !run.sent {
		p.removeRun(run)
		run.task.group.job.dirty = true
		return
	}
	run.stopping = true
	p.notifyAgent(run.agent)
}

func (p *Planner) endIfDone(j *job, now Instant) {
	if j.active() && j.allDone() {
		p.close(j, cellpb.State_STATE_DONE, closedByCompletion, now)
	}
}

func (p *Planner) cancelJob(j *job, now Instant) {
	j.cancelled = true
	if j.active() {
		p.close(j, cellpb.State_STATE_CANCELLED, closedByCaller, now)
	}
}

// closeReason is why a job ended, as written to the log.
type closeReason string

const (
	closedByCompletion closeReason = "all tasks done"
	closedByCaller     closeReason = "cancelled"
	closedByFailures   closeReason = "failed runs"
	closedByCrashes    closeReason = "crashed executors"
)

// close ends a job and stops its remaining runs.
func (p *Planner) close(j *job, state cellpb.State, reason closeReason, now Instant) {
	j.state = state
	j.endedMs = now.WallMs
	j.dirty = true
	p.config.Log("job ended", append([]any{
		"job", j.spec.GetId(), "state", state.String(), "reason", string(reason), "queue", j.spec.GetQueue(),
		"objective", p.objective(j).Milliseconds(), "work", p.criticalPath(j).Milliseconds(),
		"declared", declaredPath(j).Milliseconds(),
	}, j.history.fields(j.firstSeen, now.BootTime)...)...)
	p.stopUnfinishedRuns(j, now)
}

// stopUnfinishedRuns stops the remaining runs of an ended job. Members of a gang that is done end on their own.
func (p *Planner) stopUnfinishedRuns(j *job, now Instant) {
	reason := reasonJobEnded
	if j.cancelled {
		reason = reasonCancelled
	}
	for _, run := range j.activeRuns() {
		if !run.task.done {
			p.stopRun(run, reason, now)
		}
	}
}
