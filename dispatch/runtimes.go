package dispatch

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/runtimes"
)

// learningInterval is how often the run times are learned from progress.
const learningInterval = 500 * time.Millisecond

// learnRunTimes learns from the groups whose runs have progressed or ended since the last time.
func (p *Planner) learnRunTimes(now Instant) {
	if now.BootTime-p.learnedAt < learningInterval {
		return
	}
	p.learnedAt = now.BootTime
	for g := range p.progressedGroups {
		p.learnGroup(g)
	}
	clear(p.progressedGroups)
	p.logSpeedChanges()
}

func (p *Planner) learnGroup(g *group) {
	if g.step.GetPersistent() {
		return
	}
	var runs []runtimes.Run
	for _, t := range g.tasks {
		if t.run != nil {
			if total, ok := t.run.projectedTotal(); ok {
				t.noteRunTime(t.run.agent, total)
			}
		}
		if t.runTime > 0 {
			runs = append(runs, runtimes.Run{
				Task:     t.id.Index,
				Machine:  t.runTimeAgent,
				Duration: time.Duration(float64(t.runTime) / p.remoteFactor(g, t.runTimeAgent)),
			})
		}
	}
	work := p.runTimes.Observe(runtimes.Step{
		ID:       fmt.Sprintf("%s.%d.%d", g.job.spec.GetId(), g.occurrence, g.stepIndex),
		Queue:    g.job.spec.GetQueue(),
		Declared: declaredRunTime(g.step),
	}, runs)
	if work > 0 {
		g.job.noteWork(g.stepIndex, work)
	}
}

// remoteFactor is the factor by which the tasks of a group take longer at an agent because of the rack that it is in.
func (p *Planner) remoteFactor(g *group, agent string) float64 {
	if g.step.GetDataRack() == "" {
		return 1
	}
	if e, ok := p.executors[agent]; ok && e.state != nil && !e.hasLabel(g.step.GetDataRack()) {
		return p.config.RemoteSlowdown
	}
	return 1
}

// logSpeedChanges logs the executors whose speed has changed as far as it counts for placement.
func (p *Planner) logSpeedChanges() {
	for _, e := range p.executors {
		slowdown := p.runTimes.Slowdown(e.agent)
		if slowdown == e.slowdown || e.state == nil {
			continue
		}
		if ratio := slowdown / e.loggedSlowdown(); ratio > minLoggedChange || ratio < 1/minLoggedChange {
			p.config.Log("executor speed changed", "agent", e.agent, "executor", e.incarnation,
				"before", percent(e.loggedSlowdown()), "after", percent(slowdown),
				"samples", p.runTimes.Speed(e.agent).Samples)
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
// progress. A member of a gang ends with the slowest one, so that only its progress shows its own run time.
func (p *Planner) noteCompletion(run *taskRun, now Instant) {
	if run.running && run.basePercent == 0 && !run.task.group.step.GetGang() {
		run.task.noteRunTime(run.agent, now.BootTime-run.startedAt)
	} else if total, ok := run.projectedTotal(); ok {
		run.task.noteRunTime(run.agent, total)
	}
	p.progressedGroups[run.task.group] = true
}

// noteRunTime records how long a run of the task takes at an agent.
func (t *task) noteRunTime(agent string, total time.Duration) {
	t.runTime = total
	t.runTimeAgent = agent
}

// noteWork records the observed work of a step, which all its occurrences share.
func (j *job) noteWork(stepIndex int32, work time.Duration) {
	if j.knownWork == nil {
		j.knownWork = map[int32]time.Duration{}
	}
	j.knownWork[stepIndex] = work
}
