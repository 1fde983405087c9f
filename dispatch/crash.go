package dispatch

import (
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// crashCause says what a crash of an executor is attributed to, as written to the log and the metrics.
type crashCause string

const (
	// causeUnknown is a crash that a task, the executor or its machine may have caused.
	causeUnknown crashCause = "unknown"
	// causeNoRun is a crash of an executor without runs, which no task can have caused.
	causeNoRun crashCause = "no run"
	// causeMachine is a crash together with the agent on the same machine, which a task can't reach.
	causeMachine crashCause = "machine"
	// causeUnseen is a crash of an incarnation of which this scheduler had no report. It may have drained, and how long
	// its runs had lasted isn't known.
	causeUnseen crashCause = "unseen"
	// causeUnclear is one of several crashes at about the same moment under runs that had just started. After a wave of
	// crashes most runs have just started, so a task is blamed only once it is suspect.
	causeUnclear crashCause = "unclear"
	// causeCommon is one of several crashes at about the same moment that have one cause outside the executors.
	causeCommon crashCause = "common"
)

// crash is the end of an executor's incarnation without a drain or a shutdown.
type crash struct {
	agent       string
	incarnation string
	service     string
	zone        string
	// at is when the incarnation last answered, as far as reports show. An incarnation of which this scheduler has no
	// report counts as crashed when its successor reported.
	at time.Duration
	// agentRestarted is set if the agent restarted along with the executor.
	agentRestarted bool
	// planned is set if the incarnation drained or shut down.
	planned bool
	runs    []crashedRun
	cause   crashCause
}

// newCrash returns the end of the incarnation that a report replaces by another one.
func newCrash(e *executor, report *cellpb.Report, now Instant) *crash {
	c := &crash{
		agent:       e.agent,
		incarnation: e.incarnation,
		service:     e.state.GetService(),
		zone:        e.state.GetZone(),
		at:          e.answeredAt,
		planned:     e.state.GetDraining() || e.state.GetGone(),
		runs:        slices.Clone(e.lapsedRuns),
	}
	if e.incarnation == "" {
		c.service = report.GetExecutor().GetService()
		c.zone = report.GetExecutor().GetZone()
		c.at = now.BootTime
		return c
	}
	c.agentRestarted = e.incarnationProcess != report.GetProcess()
	return c
}

// add adds a run that was lost with the incarnation. A run whose order was never sent didn't exist there.
func (c *crash) add(run *taskRun) {
	if run.sent {
		c.runs = append(c.runs, newCrashedRun(run, c.at))
	}
}

// recordCrash counts a crash for the tasks whose runs were on the executor and logs it.
func (p *Planner) recordCrash(e *executor, c *crash, now Instant) {
	e.lapsedRuns = nil
	if c.planned || (c.incarnation == "" && len(c.runs) == 0) {
		return
	}
	e.crashedAt = c.at
	e.crashExplained = c.explanation(p.config.ReportTimeout)
	c.cause = p.causeOf(e, c, now)
	c.attribute(p.config.ReportTimeout)
	lines := make([]string, 0, len(c.runs))
	for _, run := range c.runs {
		lines = append(lines, run.String())
	}
	slices.Sort(lines)
	p.config.Log("executor crashed", "agent", c.agent, "executor", c.incarnation, "zone", c.zone, "cause", string(c.cause),
		"away", (now.BootTime - c.at).Milliseconds(), "count", len(c.runs), "runs", strings.Join(lines, ", "))
	p.config.Count("executor_crashes", string(c.cause))
	for _, run := range c.runs {
		p.retryOrGiveUp(run.task, c, now)
	}
}

// attribute adds a crash to the histories of the tasks whose runs were there, unless its machine is the cause. Of
// these, a task whose run had just started, or whose crash before was alike, becomes suspect.
func (c *crash) attribute(precision time.Duration) {
	if c.cause == causeMachine {
		return
	}
	for _, run := range c.runs {
		t := run.task
		t.group.job.dirty = true
		t.crashes = t.crashes.withCrash(taskCrash{
			agent:  c.agent,
			age:    min(run.age, crashMemory),
			blamed: c.cause == causeUnknown,
		})
		mayCause := c.cause == causeUnknown || c.cause == causeUnclear
		if (mayCause && run.age <= precision) || len(t.crashes.alike(precision)) > 1 {
			t.crashes = t.crashes.withSuspicion()
		}
	}
}

// blamesOnly reports whether a task may be the cause and all runs there were of one job. Whichever of them is the
// cause, the job can't be done.
func (c *crash) blamesOnly(j *job) bool {
	others := slices.ContainsFunc(c.runs, func(run crashedRun) bool { return run.task.group.job != j })
	return c.cause == causeUnknown && !others
}

// retryOrGiveUp delays a suspect task after a crash or, if it is the cause of the crashes, ends its job. That holds for
// persistent tasks, too: they are restarted however they end, but not at the cost of one executor after another.
func (p *Planner) retryOrGiveUp(t *task, c *crash, now Instant) {
	j := t.group.job
	if t.done || !j.active() {
		return
	}
	alone := c.blamesOnly(j)
	if t.crashes.guilty(alone, p.config.ReportTimeout) {
		p.config.Log("task given up", "task", t.id.String(), "crashes", t.crashes.blamed(), "all", len(t.crashes.crashes),
			"agents", strings.Join(t.crashes.agents(), ","), "alone", alone, "longest", t.crashes.longest().Milliseconds())
		p.config.Count("tasks_given_up", "crashes")
		p.close(j, cellpb.State_STATE_FAILED, closedByCrashes, now)
		return
	}
	if !t.crashes.suspect {
		return
	}
	t.attempts().delayRetry(now.BootTime + retryDelay(int32(len(t.crashes.crashes))))
}

// causeOf tells crashes that no task can have caused from those that one may have caused.
func (p *Planner) causeOf(e *executor, c *crash, now Instant) crashCause {
	switch {
	case len(c.runs) == 0:
		return causeNoRun
	case c.incarnation == "":
		return causeUnseen
	case c.agentRestarted:
		return causeMachine
	}
	return p.causeAmong(e, c, now)
}

// causeAmong tells the cause from what else was lost at about the moment of a crash. It is a common one if no run
// explains one of the others, or if they are all executors of the zone or most of the service and no suspect task was
// there. A task crashes only the executor on which it runs, so these crashes have another cause, such as a loss of
// power.
func (p *Planner) causeAmong(e *executor, c *crash, now Instant) crashCause {
	zone, service, others := share{}, share{}, 0
	for _, other := range p.executors {
		if other.state == nil || other.state.GetService() != c.service {
			continue
		}
		lost, why := true, e.crashExplained
		if other != e {
			lost, why = p.lostAt(other, c.at, now)
			if lost && why == unexplained {
				return causeCommon
			}
			if lost {
				others++
			}
		}
		lost = lost && why != explainedBySuspect
		service.add(lost)
		if other.state.GetZone() == c.zone {
			zone.add(lost)
		}
	}
	switch {
	case zone.isAll() || service.isMost():
		return causeCommon
	case others > 0 && e.crashExplained != explainedBySuspect:
		return causeUnclear
	}
	return causeUnknown
}

// lostAt reports whether an executor crashed or fell silent at about a moment, and what explains it. Reports that wait
// for an end make the moment of the last answer uncertain by up to the report timeout.
func (p *Planner) lostAt(e *executor, at time.Duration, now Instant) (bool, explanation) {
	if e.crashedAt > 0 && (e.crashedAt-at).Abs() <= p.config.ReportTimeout {
		return true, e.crashExplained
	}
	silent := e.state.GetSilent() || now.BootTime-e.reportedAt > p.config.ReportTimeout
	planned := e.state.GetDraining() || e.state.GetGone()
	if !silent || planned || (e.answeredAt-at).Abs() > p.config.ReportTimeout {
		return false, unexplained
	}
	assumed := crash{
		at:   e.answeredAt,
		runs: slices.Clone(e.lapsedRuns),
	}
	for run := range p.runsByAgent[e.agent] {
		assumed.add(run)
	}
	return true, assumed.explanation(p.config.ReportTimeout)
}

// explanation returns the best explanation by a run that was there. Ages of runs are known with a precision.
func (c *crash) explanation(precision time.Duration) explanation {
	best := unexplained
	for _, run := range c.runs {
		switch {
		case run.task.crashes.suspect:
			return explainedBySuspect
		case run.age <= precision:
			best = explainedByStart
		}
	}
	return best
}

// noteLapsed remembers a run whose lease ran out while its executor was silent. If the executor comes back as another
// incarnation, it crashed under the run.
func (p *Planner) noteLapsed(run *taskRun) {
	if !run.sent {
		return
	}
	e := p.executor(run.agent)
	if e.incarnation != "" && e.incarnation != run.incarnation {
		return
	}
	e.lapsedRuns = append(e.lapsedRuns, newCrashedRun(run, e.answeredAt))
}

// forgetLapsed forgets the lapsed runs of an incarnation that answers again: it was cut off and didn't crash.
func (e *executor) forgetLapsed() {
	if !e.state.GetSilent() {
		e.lapsedRuns = nil
	}
}
