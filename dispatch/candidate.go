package dispatch

import "radishpath.example/radishpath/cell"

// candidate is an executor as a placement candidate in one planning pass.
type candidate struct {
	*executor
	// free holds the resources that no run occupies and that aren't reserved in this pass.
	free cell.Capacity
	// reservedFrom holds what was free before anything was reserved in this pass.
	reservedFrom cell.Capacity
	// releasing holds the resources of runs that are being stopped, expectedRelease those of runs that are assumed to
	// have ended when the expected fit of a unit is computed.
	releasing       cell.Capacity
	expectedRelease cell.Capacity
	// available is used while a unit is packed: what is left beside the unit's tasks packed so far.
	available cell.Capacity
	// included marks the candidates under consideration in expectedEndsAt.
	included bool
	// schedulable candidates accept new work now.
	schedulable bool
	// headroom candidates are kept free for urgent work.
	headroom bool
	// idle candidates have no runs; slow ones recently had a run that progressed far too slowly.
	idle bool
	slow bool
	// failedRecently is set if a run failed there recently.
	failedRecently bool
	// slowdown is the factor by which tasks run longer there than on an executor of mean speed.
	slowdown float64
	// kinds counts the tasks there by kind; nil as long as no kinds are known to slow each other down.
	kinds map[string]int
	// onlyJob is the job of all runs there, nil if there are none; shared is set if there are runs of several jobs.
	onlyJob *job
	shared  bool
	// isolatedFor is the job of a suspect run, which keeps other jobs away.
	isolatedFor *job
}

// subtractRuns subtracts the resources of the runs that may exist on a candidate. Those being stopped still count.
func (p *Planner) subtractRuns(c *candidate) {
	c.idle = len(p.runsByAgent[c.agent]) == 0
	for run := range p.runsByAgent[c.agent] {
		if run.incarnation != c.incarnation {
			continue
		}
		request := requestedResources(run.task.group.step)
		c.free = c.free.Minus(request)
		c.noteRun(run.task)
		if run.stopping {
			c.releasing = c.releasing.Plus(request)
		}
	}
}

// subtractOrphans subtracts the resources of the runs that a candidate lists unexpectedly, which are being stopped.
// What the run of an unknown job occupies isn't known, so the candidate gets no work until it has ended.
func (p *Planner) subtractOrphans(c *candidate) {
	for taskID := range c.orphans {
		c.idle = false
		t := p.findTask(taskID)
		if t == nil {
			c.schedulable = false
			continue
		}
		request := requestedResources(t.group.step)
		c.free = c.free.Minus(request)
		c.releasing = c.releasing.Plus(request)
	}
}

// schedulable reports whether an executor accepts new work, apart from a quarantine.
func (p *Planner) schedulable(e *executor, now Instant) bool {
	return now.BootTime-e.reportedAt <= p.config.ReportTimeout &&
		e.incarnation == e.reportedIncarnation &&
		now.BootTime-e.answeredAt <= p.config.leaseTimeout() &&
		!e.state.GetSilent() &&
		!e.state.GetDraining() &&
		!e.state.GetGone() &&
		!p.operations.EvacuatedZones[e.state.GetZone()] &&
		now.BootTime >= e.noStartsUntil
}

// mostQuarantined reports whether most executors that accept work are quarantined. Their failures then have a common
// cause, such as a wave of faulty jobs, and withholding work from all of them would stop the cell.
func (p *Planner) mostQuarantined(now Instant) bool {
	quarantined, total := 0, 0
	for _, e := range p.executors {
		if e.state == nil || !e.epochConfirmed || !p.schedulable(e, now) {
			continue
		}
		total++
		if !e.health.schedulable(now.BootTime) {
			quarantined++
		}
	}
	return 2*quarantined > total
}
