package dispatch

import (
	"time"
)

// maxIsolationWait is how long a suspect task waits for an executor without runs of other jobs. The users let no task
// wait for 3 s beside free capacity, and the delay before it is retried takes up to one of them.
const maxIsolationWait = 1500 * time.Millisecond

// clearSurvivor clears a task of earlier crashes once a run of it has lasted well beyond them.
func (p *Planner) clearSurvivor(e *executor, run *taskRun) {
	t := run.task
	if t.crashes.empty() || !run.running || waitsForGang(run) {
		return
	}
	before, lasted := t.crashes, e.clock()-run.startedClock
	t.crashes = before.withRunTime(lasted, p.config.RemoteSlowdown)
	if t.crashes.empty() == before.empty() && t.crashes.suspect == before.suspect {
		return
	}
	t.group.job.dirty = true
	p.config.Log("task survived", "task", t.id.String(), "run", run.runNumber, "agent", e.agent,
		"crashes", before.blamed(), "cleared", t.crashes.empty(), "lasted", lasted.Milliseconds())
}

// startIsolation limits how long the suspect tasks of a unit wait for executors of their own. Work of priority 0 and
// persistent tasks wait less, so that a wrong suspicion costs them no time limit.
func (p *Planner) startIsolation(u *schedulingUnit, now Instant) {
	wait := maxIsolationWait
	if u.priority == 0 || u.group.step.GetPersistent() {
		wait = min(wait, p.config.maxWait())
	}
	for _, t := range u.tasks {
		if t.crashes.suspect && t.isolatedUntil == 0 {
			t.isolatedUntil = now.BootTime + wait
		}
	}
}

// isolates reports whether a task waits for an executor without runs of other jobs.
func (t *task) isolates(now time.Duration) bool {
	return t.crashes.suspect && now < t.isolatedUntil
}

// waitsForIsolation reports whether a unit holds a task that waits for an executor of its own.
func (u *schedulingUnit) waitsForIsolation(now Instant) bool {
	for _, t := range u.tasks {
		if t.isolates(now.BootTime) {
			return true
		}
	}
	return false
}

// mustStart reports whether a unit has waited so long that it starts beside suspect tasks, too.
func (u *schedulingUnit) mustStart(config Config) bool {
	return u.guaranteed && u.tasks[0].runNumber == 0 && u.waitTime >= config.maxWait()
}

// noteRun notes whose runs a candidate has.
func (c *candidate) noteRun(t *task) {
	j := t.group.job
	if c.kinds != nil {
		c.kinds[t.group.kind()]++
	}
	switch {
	case c.onlyJob == nil && !c.shared:
		c.onlyJob = j
	case c.onlyJob != j:
		c.onlyJob = nil
		c.shared = true
	}
	if t.crashes.suspect {
		c.isolatedFor = j
	}
}

// noteIsolation notes whether any and whether half of the schedulable candidates are isolated. Keeping others away from
// so many would stop the cell.
func (snap *cellSnapshot) noteIsolation() {
	isolated, total := 0, 0
	for _, c := range snap.candidates {
		if !c.schedulable {
			continue
		}
		total++
		if c.isolatedFor != nil {
			isolated++
		}
	}
	snap.hasIsolated = isolated > 0
	snap.halfIsolated = 2*isolated >= total
}

// allowsCompany reports whether a task may start beside the runs of a candidate: a suspect one only beside its own job
// and where no executor crashed under it, others not beside a suspect one of another job. A crash then shows whether
// the suspect task is the cause, and harms nobody else.
func (snap *cellSnapshot) allowsCompany(c *candidate, t *task) bool {
	j := t.group.job
	if c.isolatedFor != nil && c.isolatedFor != j && !snap.halfIsolated && !snap.ignoreIsolation {
		return false
	}
	if !t.isolates(snap.now) {
		return true
	}
	return !c.shared && (c.onlyJob == nil || c.onlyJob == j) && !t.crashes.crashedOn(c.agent)
}
