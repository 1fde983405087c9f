package dispatch

import "radishpath.example/radishpath/cell/cellpb"

// lateStartOutcome says what a late start met, as written to the log and the metrics.
type lateStartOutcome string

const (
	// lateStartAdopted is the run that is expected at the executor.
	lateStartAdopted lateStartOutcome = "adopted"
	// lateStartBeside is a run beside another one of its task.
	lateStartBeside lateStartOutcome = "beside another run"
	// lateStartAfterDone is a run of a task that is done.
	lateStartAfterDone lateStartOutcome = "after done"
	// lateStartUnexpected is a run that was given up, or has ended, and has no successor yet.
	lateStartUnexpected lateStartOutcome = "given up before"
	// lateStartUnknown is a run of a task that the planner doesn't know.
	lateStartUnknown lateStartOutcome = "unknown task"
)

// logLateStarts logs the runs in the first report of an incarnation that follows another one. The executor has had no
// orders for this incarnation yet, so it has carried out starts for an earlier one.
func (p *Planner) logLateStarts(e *executor, report *cellpb.Report, earlier *crash, now Instant) {
	away := (now.BootTime - earlier.at).Milliseconds()
	log := func(taskID string, number int32, state string) {
		t := p.findTask(taskID)
		outcome := t.lateStartOutcome(e.agent, number)
		fields := []any{
			"task", taskID, "run", number, "agent", e.agent, "executor", e.incarnation, "earlier", earlier.incarnation,
			"away", away, "state", state, "outcome", string(outcome),
		}
		p.config.Log("late start at next incarnation", append(fields, t.expectation()...)...)
		p.config.Count("late_starts", string(outcome))
	}
	for _, running := range report.GetRunning() {
		log(running.GetTask(), running.GetRun(), "running")
	}
	for _, ended := range report.GetEnded() {
		log(ended.GetTask(), ended.GetRun(), ended.GetKind().String())
	}
}

// lateStartOutcome returns what a late start of a run at an agent's executor met. The task is nil if it is unknown.
func (t *task) lateStartOutcome(agent string, number int32) lateStartOutcome {
	switch {
	case t == nil:
		return lateStartUnknown
	case t.done:
		return lateStartAfterDone
	case t.run == nil:
		return lateStartUnexpected
	case t.run.agent == agent && t.run.runNumber == number:
		return lateStartAdopted
	}
	return lateStartBeside
}
