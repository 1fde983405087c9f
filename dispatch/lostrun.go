package dispatch

import "time"

// lostReason says what shows that a run is over whose end no executor has listed, as written to the log. There is no
// other ground to start a task again while the end of its run isn't known.
type lostReason string

const (
	// lostUnsent is a run whose order this scheduler never sent.
	lostUnsent lostReason = "order never left"
	// lostUnheard is a run whose executor this scheduler has never heard, for longer than its predecessor's grants last.
	lostUnheard lostReason = "executor never heard"
	// lostLapsed is a run whose leases have ended.
	lostLapsed lostReason = "lease lapsed"
	// lostEnded is a run of an executor of which its agent has evidence that it ended.
	lostEnded lostReason = "executor ended"
	// lostReplaced is a run of an executor in whose place another one answers, which doesn't list it.
	lostReplaced lostReason = "executor started anew"
)

// markLost gives up a run that certainly no longer exists.
func (p *Planner) markLost(run *taskRun, reason lostReason, now Instant) {
	answered := time.Duration(0)
	if e := p.executors[run.agent]; e != nil && e.answeredAt > 0 {
		answered = now.BootTime - e.answeredAt
	}
	p.config.Log("run lost", "task", run.task.id.String(), "run", run.runNumber, "agent", run.agent,
		"answered", answered.Milliseconds(), "reason", string(reason), "lost", lostWork(run, now))
	run.task.group.job.history.addOutcome("lost: "+string(reason), lostWork(run, now))
	p.removeRun(run)
	run.task.group.job.dirty = true
	p.stopGang(run.task.group, reasonMemberLost, now)
}
