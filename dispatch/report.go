package dispatch

import (
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Report processes an agent's report. It returns false for a report that is older than one already processed.
func (p *Planner) Report(report *cellpb.Report, epoch int64, now Instant) bool {
	e := p.executor(report.GetAgent())
	if e.outdates(report, epoch) {
		return false
	}
	e.process = report.GetProcess()
	e.sequence = report.GetSequence()
	e.address = report.GetAddress()
	if report.GetExecutor() == nil {
		return true
	}
	e.assignGeneration(report)
	if report.GetEpoch() != epoch || report.GetGeneration() < e.generation {
		// Until the executor has been contacted with this epoch and generation, an order of the previous scheduler, or
		// one meant for an earlier incarnation, may still take effect there.
		return true
	}
	if !e.epochConfirmed {
		p.inheritSpeed(e.agent, report.GetSpeed())
	}
	if !e.epochConfirmed || now.BootTime-e.reportedAt > p.config.ReportTimeout {
		p.replan = true
	}
	e.reportedAt = now.BootTime
	e.epochConfirmed = true
	p.updateExecutor(e, report, now)
	p.processEnds(e, report, now)
	p.processRejections(e, report, now)
	p.processRunning(e, report, now)
	if e.state.GetGone() {
		for _, run := range p.runsAt(e.agent) {
			p.markLost(run, lostEnded, now)
		}
	}
	return true
}

// updateExecutor updates the executor's own state. Runs of an earlier incarnation are lost unless the current one
// reports them.
func (p *Planner) updateExecutor(e *executor, report *cellpb.Report, now Instant) {
	incarnation := incarnationOf(report.GetExecutor())
	isNew := incarnation != e.incarnation
	crashed := newCrash(e, report, now)
	e.incarnationProcess = report.GetProcess()
	// A repeated clock reading means that the lists are those of an earlier response. Without a clock, each report
	// counts.
	if isNew || report.GetExecutor().GetSteadyMs() != e.state.GetSteadyMs() || e.state.GetSteadyMs() == 0 {
		e.answeredAt = now.BootTime
	}
	if e.state.GetSilent() != report.GetExecutor().GetSilent() {
		p.replan = true
		p.config.Log("executor silence changed", "agent", e.agent, "executor", incarnation,
			"silent", report.GetExecutor().GetSilent(), "answered", (now.BootTime - e.answeredAt).Milliseconds())
	}
	if isNew || e.state.GetDraining() != report.GetExecutor().GetDraining() {
		p.replan = true
		e.ordersVersion++
	}
	if before, after := cell.CapacityOf(e.state), cell.CapacityOf(report.GetExecutor()); !isNew && before != after {
		p.replan = true
		e.ordersVersion++
		p.config.Log("executor capacity changed", "agent", e.agent, "executor", incarnation,
			"before", before.String(), "after", after.String())
	}
	previousKind := e.kind()
	e.state = report.GetExecutor()
	if !isNew {
		e.largest = e.largest.Max(e.capacity())
		e.forgetLapsed()
		return
	}
	e.largest = e.capacity()
	if e.incarnation != "" {
		p.inheritFromIncarnation(e, previousKind)
	}
	e.incarnation = incarnation
	e.unstoredEnds = nil
	e.lastEnd = 0
	e.lastStoredEnd = 0
	e.orphans = map[string]*cellpb.Stop{}
	e.health = health{}
	p.config.Log("new executor incarnation", "agent", e.agent, "executor", incarnation, "zone", e.state.GetZone(),
		"labels", strings.Join(e.state.GetLabels(), ","))
	if crashed.incarnation != "" {
		p.logLateStarts(e, report, crashed, now)
	}
	p.adoptOrLoseRuns(e, report, crashed, now)
	p.recordCrash(e, crashed, now)
}

// adoptOrLoseRuns assigns the runs of earlier incarnations to the executor's current one if that lists them, and gives
// the others up as lost in the crash.
func (p *Planner) adoptOrLoseRuns(e *executor, report *cellpb.Report, crashed *crash, now Instant) {
	// An order for the earlier incarnation may have been executed by the current one, and its run may have ended
	// already.
	listed := map[string]int32{}
	for _, ended := range report.GetEnded() {
		listed[ended.GetTask()] = ended.GetRun()
	}
	for _, r := range report.GetRunning() {
		listed[r.GetTask()] = r.GetRun()
	}
	for _, run := range p.runsAt(e.agent) {
		switch {
		case run.incarnation == e.incarnation:
		case listed[run.task.id.String()] == run.runNumber:
			if run.running {
				// It was carried out again; what was seen of it before counts on the other clock.
				crashed.add(run)
				run.running = false
			}
			run.incarnation = e.incarnation
			run.task.group.job.dirty = true
		default:
			crashed.add(run)
			p.markLost(run, lostReplaced, now)
		}
	}
}

func (p *Planner) processEnds(e *executor, report *cellpb.Report, now Instant) {
	for _, end := range report.GetEnded() {
		if end.GetNumber() <= e.lastEnd {
			continue
		}
		e.lastEnd = end.GetNumber()
		p.removeOrphan(e, end.GetTask())
		p.end(e, end, now)
		e.unstoredEnds = append(e.unstoredEnds, processedEnd{
			number: end.GetNumber(),
			batch:  p.batchOf(end.GetTask()),
		})
	}
	if e.acknowledgeEnds(p.committedBatch) {
		e.ordersVersion++
	}
}

// batchOf returns the batch that must be stored before an end of the task is acknowledged. If the end changed nothing,
// that is the previous batch.
func (p *Planner) batchOf(taskID string) int64 {
	t := p.findTask(taskID)
	if t == nil || !t.group.job.dirty {
		return p.batch - 1
	}
	return p.batch
}

func (p *Planner) processRejections(e *executor, report *cellpb.Report, now Instant) {
	for _, rejected := range report.GetRejected() {
		p.removeOrphan(e, rejected.GetTask())
		t := p.findTask(rejected.GetTask())
		if t == nil || t.run == nil || t.run.agent != e.agent || t.run.runNumber != rejected.GetRun() {
			continue
		}
		p.config.Log("start rejected", "task", rejected.GetTask(), "run", rejected.GetRun(), "agent", e.agent,
			"reason", rejected.GetReason())
		switch rejected.GetReason() {
		case "room", "unhealthy":
			e.noStartsUntil = now.BootTime + rejectionDelay
		case "ticket":
			t.group.adviceCache.dropTicket(e.incarnation)
		}
		p.removeRun(t.run)
		t.group.job.dirty = true
		t.attempts().delayRetry(now.BootTime + startRetryDelay)
		p.stopGang(t.group, reasonMemberRejected, now)
	}
}

const (
	// rejectionDelay withholds work from an executor that rejected a start.
	rejectionDelay = 500 * time.Millisecond
	// startRetryDelay prevents a rejected start from being retried in a tight loop.
	startRetryDelay = 50 * time.Millisecond
)

func (p *Planner) processRunning(e *executor, report *cellpb.Report, now Instant) {
	reported := map[string]bool{}
	for _, running := range report.GetRunning() {
		reported[running.GetTask()] = true
		t := p.findTask(running.GetTask())
		if t == nil || t.run == nil || t.run.runNumber != running.GetRun() || t.run.incarnation != e.incarnation {
			p.addOrphan(e, t, running)
			continue
		}
		if t.run.restored && !t.run.running {
			t.run.restoreRunTime(p.runTime(t.run) * time.Duration(running.GetPercent()) / completePercent)
		}
		if t.run.observe(running, e.clock(), now) {
			p.progressedGroups[t.group] = true
		}
		if running.GetCheckpoint() != "" {
			t.checkpoint = running.GetCheckpoint()
		}
		if !t.group.job.begun {
			t.group.job.begun = true
			t.group.job.state = max(t.group.job.state, cellpb.State_STATE_RUNNING)
			t.group.job.dirty = true
		}
	}
	for taskID := range e.orphans {
		if !reported[taskID] {
			p.removeOrphan(e, taskID)
		}
	}
	for run := range p.runsByAgent[e.agent] {
		if run.incarnation == e.incarnation && run.running && !reported[run.task.id.String()] {
			// The run is reported neither as running nor as ended. Repeat the order; the executor answers with the
			// outcome.
			run.running = false
			e.ordersVersion++
		}
	}
}

// addOrphan records a run that is not expected at the executor, so that it is stopped. t is nil if the task is unknown.
func (p *Planner) addOrphan(e *executor, t *task, running *cellpb.RunningTask) {
	if _, ok := e.orphans[running.GetTask()]; !ok {
		fields := []any{
			"task", running.GetTask(), "run", running.GetRun(), "agent", e.agent, "executor", e.incarnation,
		}
		p.config.Log("orphaned run", append(fields, t.expectation()...)...)
		e.ordersVersion++
		p.replan = true
	}
	e.orphans[running.GetTask()] = &cellpb.Stop{
		Task: running.GetTask(),
		Run:  running.GetRun(),
	}
}

// removeOrphan forgets an orphaned run that has ended or never began, which releases its resources.
func (p *Planner) removeOrphan(e *executor, taskID string) {
	if _, ok := e.orphans[taskID]; ok {
		delete(e.orphans, taskID)
		p.replan = true
	}
}

// observe applies what an executor listed about a run when its clock showed clock, and reports whether the run has
// progressed.
func (r *taskRun) observe(running *cellpb.RunningTask, clock time.Duration, now Instant) bool {
	r.sent = true
	if !r.running {
		r.running = true
		r.startedAt = now.BootTime
		r.startedClock = clock
		r.progressedClock = clock
		r.checkpointedAt = now.BootTime
		r.percent = running.GetPercent()
		r.basePercent = running.GetPercent()
		r.pace = pace{}
	}
	progressed := running.GetPercent() != r.percent
	if progressed {
		r.percent = running.GetPercent()
		r.progressedClock = clock
		r.pace = r.pace.withProgress(r.percent, clock)
	}
	if running.GetCheckpoint() != "" && running.GetCheckpoint() != r.task.checkpoint {
		r.checkpointedAt = now.BootTime
	}
	return progressed
}

// restoreRunTime records the run time of a restored run before this scheduler first saw it listed. The other members of
// a gang have run for as long.
func (r *taskRun) restoreRunTime(runTime time.Duration) {
	r.earlierRunTime = runTime
	if !r.task.group.step.GetGang() {
		return
	}
	for _, member := range r.task.group.tasks {
		if member.run != nil && member.run.restored && !member.run.running {
			member.run.earlierRunTime = max(member.run.earlierRunTime, runTime)
		}
	}
}

// restartProgress counts a run that has made no progress yet from now on, when its executor's clock shows clock. A
// member of a gang makes none before the last one is present, which may take longer than a run may show none.
func (r *taskRun) restartProgress(clock time.Duration, now Instant) {
	if r.percent > r.basePercent {
		return
	}
	r.startedAt = now.BootTime
	r.startedClock = clock
	r.progressedClock = clock
}
