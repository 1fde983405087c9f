package dispatch

import (
	"fmt"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/runtimes"
)

// learningInterval is how often the run times are learned from progress.
const learningInterval = 500 * time.Millisecond

// learnRunTimes learns from the groups whose runs have progressed or ended since the last time.
func (p *Planner) learnRunTimes(now Instant) {
	if now.BootTime-p.learnedAt < learningInterval || len(p.progressedGroups) == 0 {
		return
	}
	p.learnedAt = now.BootTime
	for g := range p.progressedGroups {
		p.observeGroup(g)
	}
	for g := range p.progressedGroups {
		if work, ok := p.runTimes.StepWork(g.id()); ok {
			g.job.noteWork(g.stepIndex, work)
		}
	}
	clear(p.progressedGroups)
	p.logSpeedChanges()
}

// observeGroup passes the run times of a group's tasks to the model.
func (p *Planner) observeGroup(g *group) {
	var runs []runtimes.Run
	for _, t := range g.tasks {
		if t.run != nil && t.run.pace != t.run.learnedPace {
			t.run.learnedPace = t.run.pace
			t.runTimeBeside = p.kindsBeside(t.run)
		}
		if t.noteProgress() {
			runs = append(runs, runtimes.Run{
				Task:     t.id.Index,
				Machine:  t.runTimeAgent,
				Duration: t.runTime,
				Beside:   t.runTimeBeside,
			})
		}
	}
	factor := p.rackFactor(g, runs)
	for i := range runs {
		runs[i].Duration = time.Duration(float64(runs[i].Duration) / factor / p.dataFactor(g, runs[i].Machine))
	}
	p.runTimes.Observe(runtimes.Step{
		ID:       g.id(),
		Queue:    g.job.spec.GetQueue(),
		Kind:     g.kind(),
		Declared: declaredRunTime(g.step),
	}, runs)
}

// id identifies the group among those of all jobs.
func (g *group) id() string {
	return fmt.Sprintf("%s.%d.%d", g.job.spec.GetId(), g.occurrence, g.stepIndex)
}

// dataFactor is the factor by which the tasks of a group take longer at an agent because their data is elsewhere.
func (p *Planner) dataFactor(g *group, agent string) float64 {
	if g.step.GetDataRack() == "" {
		return 1
	}
	if e, ok := p.executors[agent]; ok && e.state != nil && !e.hasLabel(g.step.GetDataRack()) {
		return p.config.RemoteSlowdown
	}
	return 1
}

// rackFactor is the factor by which the tasks of a gang take longer because its runs are in several racks.
func (p *Planner) rackFactor(g *group, runs []runtimes.Run) float64 {
	if !g.step.GetGang() || !g.step.GetSameRack() {
		return 1
	}
	racks := map[string]bool{}
	for _, run := range runs {
		if e, ok := p.executors[run.Machine]; ok && e.state != nil {
			racks[e.rack()] = true
		}
	}
	if len(racks) > 1 {
		return p.config.RemoteSlowdown
	}
	return 1
}

// logSpeedChanges logs the executors whose speed has changed as far as it counts for placement.
func (p *Planner) logSpeedChanges() {
	for _, e := range p.executors {
		slowdown := p.runTimes.Slowdown(e.agent)
		samples := p.runTimes.Speed(e.agent).Samples
		if samples == 0 || e.state == nil {
			continue
		}
		if ratio := slowdown / e.loggedSlowdown(); ratio > minLoggedChange || ratio < 1/minLoggedChange {
			p.config.Log("executor speed changed", "agent", e.agent, "executor", e.incarnation,
				"before", percent(e.loggedSlowdown()), "after", percent(slowdown), "samples", samples)
			p.config.Count("speed_changes", speedName(slowdown))
			e.slowdown = slowdown
		}
	}
}

// minLoggedChange is the ratio from which a change of an executor's slowdown is logged.
const minLoggedChange = 1.1

// loggedSlowdown is the slowdown that was last logged, at first that of a machine of mean speed.
func (e *executor) loggedSlowdown() float64 {
	if e.slowdown == 0 {
		return 1
	}
	return e.slowdown
}

func speedName(slowdown float64) string {
	switch {
	case slowdown > 1:
		return "slow"
	case slowdown < 1:
		return "fast"
	}
	return "typical"
}

func percent(ratio float64) int {
	return int(100*ratio + 0.5)
}

// inheritSpeed takes over what the predecessor knew of a machine, from the first report to this scheduler.
func (p *Planner) inheritSpeed(agent string, speed *cellpb.Speed) {
	p.runTimes.Inherit(agent, runtimes.Speed{
		LogMilli: speed.GetLogMilli(),
		Samples:  speed.GetSamples(),
	})
}

// inheritFromIncarnation keeps what is known of a machine's speed for the next incarnation there, unless that is of
// another kind.
func (p *Planner) inheritFromIncarnation(e *executor, previousKind string) {
	if e.kind() != previousKind {
		p.runTimes.Forget(e.agent)
		return
	}
	p.runTimes.Restart(e.agent)
}

// speedOf returns what is known of a machine in the form in which agents keep it; nil if nothing is.
func (p *Planner) speedOf(agent string) *cellpb.Speed {
	speed := p.runTimes.Speed(agent)
	if speed.Samples == 0 {
		return nil
	}
	return &cellpb.Speed{
		LogMilli: speed.LogMilli,
		Samples:  speed.Samples,
	}
}

// work is the expected run time of a group's tasks on an executor of mean speed near their data.
func (p *Planner) work(g *group) time.Duration {
	return p.stepWork(g.job, g.stepIndex)
}

func (p *Planner) stepWork(j *job, stepIndex int32) time.Duration {
	if known, ok := j.knownWork[stepIndex]; ok {
		return known
	}
	return p.runTimes.Work(j.spec.GetQueue(), declaredRunTime(j.spec.GetSteps()[stepIndex]))
}

// runTime is the expected run time of a run where it is.
func (p *Planner) runTime(run *taskRun) time.Duration {
	return time.Duration(float64(p.work(run.task.group)) * p.runTimes.Slowdown(run.agent))
}

// typicalRunTime is the expected run time of a run where it is, regardless of what its own step has shown. A run that
// crawls exceeds it.
func (p *Planner) typicalRunTime(run *taskRun) time.Duration {
	g := run.task.group
	work := p.runTimes.Work(g.job.spec.GetQueue(), declaredRunTime(g.step))
	return time.Duration(float64(work) * p.runTimes.Slowdown(run.agent))
}

func declaredRunTime(step *cellpb.Step) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// noteCompletion records the run time of a completed run, unless its start wasn't reported or it resumed from earlier
// progress. A gang ends with its slowest member, so that the progress of the others shows their run times. If none was
// seen, the whole is that of the member at the slowest executor.
func (p *Planner) noteCompletion(run *taskRun, now Instant) {
	g := run.task.group
	p.progressedGroups[g] = true
	lasted := now.BootTime - run.startedAt
	switch {
	case !run.running || run.basePercent > 0:
		run.noteRunTime()
	case !g.step.GetGang():
		run.task.runTime, run.task.runTimeAgent = lasted, run.agent
	case !slices.ContainsFunc(g.tasks, func(t *task) bool { return t.noteProgress() }):
		t := run.task
		t.runTime, t.runTimeAgent = lasted, p.slowestAgent(g, run.agent)
	}
}

// slowestAgent returns the agent of the slowest executor among a gang's runs, one of which was at the given agent.
func (p *Planner) slowestAgent(g *group, agent string) string {
	for _, t := range g.tasks {
		if t.run != nil && p.runTimes.Slowdown(t.run.agent) > p.runTimes.Slowdown(agent) {
			agent = t.run.agent
		}
	}
	return agent
}

// noteProgress records the run time of the task that its current run shows, and reports whether any is known.
func (t *task) noteProgress() bool {
	if t.run != nil {
		t.run.noteRunTime()
	}
	return t.runTime > 0
}

// noteRunTime records for the run's task how long it takes where it is, once the progress shows it.
func (r *taskRun) noteRunTime() {
	if runTime, ok := r.pace.runTime(); ok {
		r.task.runTime, r.task.runTimeAgent = runTime, r.agent
	}
}

// noteWork records the observed work of a step, which all its occurrences share.
func (j *job) noteWork(stepIndex int32, work time.Duration) {
	if j.knownWork == nil {
		j.knownWork = map[int32]time.Duration{}
	}
	j.knownWork[stepIndex] = work
}
