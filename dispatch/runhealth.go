package dispatch

import (
	"slices"
	"time"
)

const (
	// baseStallTimeout plus stallTimeoutShare of its estimate is how long a run may show no progress. Progress is
	// reported in whole percent, so long runs take longer to show any.
	baseStallTimeout  = 2 * time.Second
	stallTimeoutShare = 0.05
	// slowFactor, times Config.RemoteSlowdown, is the multiple of its expected run time beyond which a run counts as
	// slow. The run times within a queue vary by less.
	slowFactor = 4
	// minPaceSampleTime is the minimum elapsed time from which a run's pace is estimated.
	minPaceSampleTime = time.Second
	// slowPeriod is how long an executor counts as slow after a run was slow there. Without it the executor would look
	// healthy as soon as its runs were migrated, and receive them again.
	slowPeriod = 8 * time.Second
	// minTypicalRuns is the number of other runs of a queue from which their paces tell what is typical.
	minTypicalRuns = 3
	// completePercent is the progress of a run that has finished its own part.
	completePercent = 100
	// unreliableAvoidance is how long a task waits at most for healthy candidates. They may never suffice for its gang,
	// and an executor without work stays unreliable.
	unreliableAvoidance = failureCooldown
	// minMigrationGain is the factor by which a migration must be expected to shorten a run's remaining time.
	minMigrationGain = 2
)

// checkRuns stops stalled runs and those that must leave a draining executor, and marks executors with slow runs as
// slow. It detects executors that hang or are slow although they report themselves as healthy.
func (p *Planner) checkRuns(snap *cellSnapshot, now Instant) {
	for _, c := range snap.candidates {
		for run := range p.runsByAgent[c.agent] {
			if run.incarnation != c.incarnation || !run.running || run.stopping || run.task.done {
				continue
			}
			if run.task.group.step.GetPersistent() {
				continue
			}
			if c.state.GetDraining() {
				p.checkDraining(c, run, now)
				continue
			}
			p.checkProgress(snap, c, run, now)
		}
		c.slow = now.BootTime < c.slowUntil
	}
}

func (p *Planner) checkProgress(snap *cellSnapshot, c *candidate, run *taskRun, now Instant) {
	g := run.task.group
	if isIncomplete(g) {
		run.restartProgress(c.clockAt(now), now)
		return
	}
	expected := p.typicalRunTime(run)
	stallTimeout := baseStallTimeout + time.Duration(stallTimeoutShare*float64(expected))
	if stalled := c.clock() - run.progressedClock; !waitsForGang(run) && stalled > stallTimeout &&
		now.BootTime-c.reportedAt < p.config.ReportTimeout {
		p.config.Log("run stalled", "task", run.task.id.String(), "run", run.runNumber, "agent", c.agent,
			"percent", run.percent, "still", stalled.Milliseconds())
		c.health.startQuarantine(now.BootTime)
		run.task.attempts().avoidOnly(c.agent)
		p.stopRun(run, reasonStalled, now)
		p.stopGang(g, reasonStalled, now)
		return
	}
	total, ok := run.projectedTotal()
	if !ok || !p.runTimes.HasWork(g.job.spec.GetQueue()) {
		return
	}
	expected = max(expected, p.typicalTotal(snap, run))
	if total <= time.Duration(slowFactor*p.config.RemoteSlowdown)*expected {
		return
	}
	if now.BootTime >= c.slowUntil {
		p.config.Log("executor is slow", "agent", c.agent, "task", run.task.id.String(), "expected",
			expected.Milliseconds(), "total", total.Milliseconds())
	}
	c.slowUntil = now.BootTime + slowPeriod
}

// projectedTotal returns the run time that a run's pace leads to; false as long as the pace isn't known.
func (r *taskRun) projectedTotal() (time.Duration, bool) {
	elapsed, progressed := r.progressedClock-r.startedClock, r.percent-r.basePercent
	if elapsed < minPaceSampleTime || progressed <= 0 {
		return 0, false
	}
	return elapsed * completePercent / time.Duration(progressed), true
}

// typicalTotal returns the median of the projected run times of the other runs of a run's queue, or 0 if there are too
// few. The mean of completed runs alone is too low after a takeover: the shortest runs are the first to complete.
func (p *Planner) typicalTotal(snap *cellSnapshot, run *taskRun) time.Duration {
	queue := run.task.group.job.spec.GetQueue()
	totals, ok := snap.projectedTotals[queue]
	if !ok {
		p.eachRun(func(other *taskRun) {
			if total, known := other.projectedTotal(); known && other.task.group.job.spec.GetQueue() == queue {
				totals = append(totals, total)
			}
		})
		slices.Sort(totals)
		snap.projectedTotals[queue] = totals
	}
	// The run itself is one of them.
	if len(totals) <= minTypicalRuns {
		return 0
	}
	return totals[len(totals)/2]
}

// waitsForGang reports whether a run makes no progress because it waits for other members of its gang, either to start
// or, if its own part is finished, to end.
func waitsForGang(run *taskRun) bool {
	g := run.task.group
	return isIncomplete(g) || (g.step.GetGang() && run.percent >= completePercent)
}

// isIncomplete reports whether a group is a gang of which some members aren't running. The others do no work then.
func isIncomplete(g *group) bool {
	return g.step.GetGang() && slices.ContainsFunc(g.tasks, func(t *task) bool { return t.run == nil || !t.run.running })
}

// checkDraining stops a run that writes checkpoints if its draining executor may terminate before the run ends. Stopped
// in time, the run resumes elsewhere from its current state; if it ends with its executor, it loses the work since its
// last checkpoint. A run without checkpoints continues, since executors often stay longer than announced.
func (p *Planner) checkDraining(c *candidate, run *taskRun, now Instant) {
	g := run.task.group
	timeLeft := time.Duration(c.state.GetLeftMs())*time.Millisecond - (now.BootTime - c.reportedAt)
	if !g.step.GetCheckpoints() || p.remaining(run, now) <= timeLeft {
		return
	}
	p.config.Log("stopping run on draining executor", "task", run.task.id.String(), "run", run.runNumber,
		"agent", c.agent, "left", timeLeft.Milliseconds(), "remaining", p.remaining(run, now).Milliseconds())
	p.stopRun(run, reasonDraining, now)
	p.stopGang(g, reasonDraining, now)
}

// migrateFromSlow stops runs on slow executors that would end sooner if they restarted on a healthy one with free
// resources. A task is migrated at most once: one that is slow on every executor is inherently slow.
func (p *Planner) migrateFromSlow(snap *cellSnapshot, now Instant) {
	for _, c := range snap.candidates {
		if !c.slow {
			continue
		}
		for run := range p.runsByAgent[c.agent] {
			t := run.task
			if !run.running || run.stopping || t.done || t.migrated || t.group.step.GetGang() ||
				t.group.step.GetPersistent() {
				continue
			}
			if p.remaining(run, now) < minMigrationGain*p.typicalRunTime(run) {
				continue
			}
			if chosen := p.migrationTarget(snap, t, now); chosen != nil {
				p.config.Log("migrating run from slow executor", "task", t.id.String(), "agent", c.agent, "to", chosen.agent)
				chosen.free = chosen.free.Minus(requestedResources(t.group.step))
				t.migrated = true
				t.attempts().avoidOnly(c.agent)
				p.stopRun(run, reasonSlow, now)
			}
		}
	}
}

// migrationTarget returns a healthy candidate with free resources for a task, or nil if there is none.
func (p *Planner) migrationTarget(snap *cellSnapshot, t *task, now Instant) *candidate {
	u := p.newUnit(t.group, snap.demand, now)
	u.tasks = []*task{t}
	for _, candidates := range p.placementOptions(p.racks(snap, t.group), u) {
		healthy := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.unreliable() })
		if chosen := p.pack(snap, u, healthy, freeNow); chosen != nil {
			return chosen[0]
		}
	}
	return nil
}

// withoutRecentFailures returns, for a gang or a task that failed before, the candidate sets without the candidates on
// which a run recently failed. For other units it returns nil.
func (snap *cellSnapshot) withoutRecentFailures(u *schedulingUnit, candidateSets [][]*candidate) [][]*candidate {
	if (!u.group.step.GetGang() && u.tasks[0].ownAttempts.failures.runs == 0) || !snap.hasRecentFailures {
		return nil
	}
	filtered := make([][]*candidate, 0, len(candidateSets))
	for _, candidates := range candidateSets {
		filtered = append(filtered, slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool {
			return c.failedRecently
		}))
	}
	return filtered
}

// allowsTask reports whether a candidate may take a task. An unreliable candidate is probed with one new task at a
// time: if its runs fail quickly, it would otherwise be free again at once and attract all pending work. As long as
// there are healthy candidates that can run it, gangs and tasks that failed before are placed only on those, and no
// task where it or its gang last failed, for unreliableAvoidance.
func (snap *cellSnapshot) allowsTask(c *candidate, t *task, tasksByAgent map[string]int) bool {
	if !snap.allowsCompany(c, t) {
		return false
	}
	a := t.attempts()
	if (!a.avoided[c.agent] && !c.unreliable()) || !snap.hasHealthyAlternative(t) ||
		snap.now-t.waitingSince() > unreliableAvoidance {
		return true
	}
	if a.avoided[c.agent] || a.failures.runs > 0 || t.group.step.GetGang() {
		return false
	}
	return c.idle && tasksByAgent[c.agent] == 0
}

// hasHealthyAlternative reports whether a healthy candidate can run a task other than where it or its gang last failed.
func (snap *cellSnapshot) hasHealthyAlternative(t *task) bool {
	if snap.healthyFor != t.group {
		snap.healthyFor = t.group
		snap.healthy = snap.racks(t.group).healthy
	}
	avoided := t.attempts().avoided
	return slices.ContainsFunc(snap.healthy, func(agent string) bool { return !avoided[agent] })
}

// unreliable reports whether the executor's last runs failed or its runs are slow.
func (c *candidate) unreliable() bool {
	return len(c.health.failed) > 0 || c.slow
}
