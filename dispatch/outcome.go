package dispatch

import (
	"radishpath.example/radishpath/cell/cellpb"
)

// end takes over one end. An end of a run that isn't the task's present one says nothing about the task.
func (b *Board) end(e *executor, end *cellpb.EndedTask, now Instant) {
	t := b.findTask(end.GetTask())
	if t == nil || t.place == nil || t.place.run != end.GetRun() || t.place.life != e.life {
		return
	}
	place := t.place
	b.drop(place)
	j := t.group.job
	j.dirty = true
	j.begun = true
	j.state = max(j.state, cellpb.State_STATE_RUNNING)
	if end.GetCheckpoint() != "" {
		t.checkpoint = end.GetCheckpoint()
	}
	b.config.Log("end", "task", end.GetTask(), "run", end.GetRun(), "agent", e.agent, "kind", end.GetKind().String(),
		"ran", (now.Boot - place.started).Milliseconds())
	switch end.GetKind() {
	case cellpb.EndKind_END_KIND_DONE:
		b.succeed(e, place, now)
	case cellpb.EndKind_END_KIND_FAILED:
		b.fail(e, place, now)
	default:
		b.breakGang(t.group)
	}
}

func (b *Board) succeed(e *executor, place *placement, now Instant) {
	t := place.task
	e.health.succeeded()
	if t.group.step.GetPersistent() {
		return
	}
	b.estimates.learn(t.group, place, now)
	t.done = true
	if t.group.step.GetGang() {
		for _, member := range t.group.tasks {
			member.done = true
		}
	}
	b.finish(t.group.job, now)
}

func (b *Board) fail(e *executor, place *placement, now Instant) {
	t := place.task
	t.failedOn = e.agent
	b.blame(e, t.group.job, now)
	failures := int32(0)
	if t.group.step.GetGang() {
		t.group.failures++
		failures = t.group.failures
	} else {
		t.failures++
		failures = t.failures
	}
	b.breakGang(t.group)
	limit := int32(b.queue(t.group.job.spec).MaxFailures)
	if t.group.step.GetPersistent() || failures < limit || !t.group.job.active() {
		return
	}
	b.close(t.group.job, cellpb.State_STATE_FAILED, now)
}

// blame tells a job that fails everywhere from an executor that fails everything.
func (b *Board) blame(e *executor, j *job, now Instant) {
	id := j.spec.GetId()
	if j.failedAt == nil {
		j.failedAt = map[string]bool{}
	}
	j.failedAt[e.agent] = true
	if len(j.failedAt) >= faultyJob {
		for agent := range j.failedAt {
			b.executors[agent].health.acquit(id)
		}
		return
	}
	if e.health.failed(id, now.Boot) {
		b.config.Log("executor set aside", "agent", e.agent, "executor", e.life, "failing", len(e.health.failing),
			"for", e.health.duration.Milliseconds())
	}
}

// breakGang stops the other members of a gang of which one is gone.
func (b *Board) breakGang(g *group) {
	if !g.step.GetGang() || g.done() {
		return
	}
	for _, t := range g.tasks {
		b.stop(t.place)
	}
}

// stop has a run stopped. One that never left the scheduler is withdrawn.
func (b *Board) stop(place *placement) {
	if place == nil {
		return
	}
	if !place.sent {
		b.drop(place)
		place.task.group.job.dirty = true
		return
	}
	if !place.stopping {
		place.stopping = true
		b.touch(place.agent)
	}
}

func (b *Board) finish(j *job, now Instant) {
	if j.active() && j.complete() {
		b.close(j, cellpb.State_STATE_DONE, now)
	}
}

func (b *Board) cancel(j *job, now Instant) {
	j.cancelled = true
	if j.active() {
		b.close(j, cellpb.State_STATE_CANCELLED, now)
	}
}

// close ends a job; what still runs of it is stopped.
func (b *Board) close(j *job, state cellpb.State, now Instant) {
	j.state = state
	j.endedMs = now.Wall
	j.dirty = true
	b.config.Log("job ended", "job", j.spec.GetId(), "state", state.String(), "queue", j.spec.GetQueue())
	b.stopRest(j)
}

// stopRest stops the runs of an ended job. The members of a gang that is done end by themselves.
func (b *Board) stopRest(j *job) {
	for _, place := range j.placements() {
		if !place.task.done {
			b.stop(place)
		}
	}
}

// lose gives up a run that surely doesn't exist any more.
func (b *Board) lose(place *placement, reason string) {
	b.config.Log("run lost", "task", place.task.id.String(), "run", place.run, "agent", place.agent, "reason", reason)
	b.drop(place)
	place.task.group.job.dirty = true
	b.breakGang(place.task.group)
}
