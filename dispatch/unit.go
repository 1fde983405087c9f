package dispatch

import (
	"cmp"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// overdueFactor is the multiple of a job's objective after which its result has no value.
const overdueFactor = 3

// schedulingUnit is a set of tasks that is placed as a whole: a gang or a single task.
type schedulingUnit struct {
	group *group
	tasks []*task
	// guaranteed units may preempt other work to start within the time limit.
	guaranteed bool
	priority   int
	// overdue units are too late for their result to have any value.
	overdue bool
	// slack is the time left until the unit must start to meet its objective.
	slack time.Duration
	// minSlack is the slack computed from the lower of the declared and the estimated run time. The shorter a job is,
	// the less time its objective leaves beside the run itself.
	minSlack time.Duration
	// waitTime is the time since the scheduler learned of the job.
	waitTime time.Duration
	// speedLimit is the largest slowdown of executors on which the unit ends in time if it starts now.
	speedLimit float64
	// conflicts holds, by kind of neighbour, how much tasks of the unit and the neighbour slow each other down.
	conflicts map[string]float64
	// deferrable units leave the headroom for urgent work free.
	deferrable bool
}

// units returns the pending units in placement order. demand is the result of guaranteedDemand.
func (p *Planner) units(demand map[string]int64, now Instant) []*schedulingUnit {
	var units []*schedulingUnit
	for _, j := range p.jobs {
		if !j.active() || j.cancelled {
			continue
		}
		for _, g := range j.groups {
			if !g.ready(now) {
				continue
			}
			taskSets := pendingTasks(g, now)
			if len(taskSets) == 0 {
				continue
			}
			shared := p.newUnit(g, demand, now)
			for _, tasks := range taskSets {
				u := *shared
				u.tasks = tasks
				units = append(units, &u)
			}
		}
	}
	slices.SortFunc(units, compareUnits)
	return units
}

// pendingTasks returns the sets of a group's tasks that can be placed now.
func pendingTasks(g *group, now Instant) [][]*task {
	if g.step.GetGang() {
		if g.done() || !g.hasNoRuns() || now.BootTime < g.gangAttempts.retryAt {
			return nil
		}
		return [][]*task{g.tasks}
	}
	var taskSets [][]*task
	for i, t := range g.tasks {
		if !t.done && t.run == nil && now.BootTime >= t.ownAttempts.retryAt {
			taskSets = append(taskSets, g.tasks[i:i+1:i+1])
		}
	}
	return taskSets
}

// newUnit returns a unit with the fields that all units of a group share.
func (p *Planner) newUnit(g *group, demand map[string]int64, now Instant) *schedulingUnit {
	spec := g.job.spec
	objective := p.objective(g.job)
	eligibleMs := max(spec.GetAcceptedMs(), g.job.dueMs(g.occurrence))
	age := max(time.Duration(now.WallMs-eligibleMs)*time.Millisecond, now.BootTime-g.job.firstSeen)
	workspace := spec.GetWorkspace()
	work := p.work(g)
	u := &schedulingUnit{
		group:      g,
		priority:   p.priority(spec),
		guaranteed: p.priority(spec) == 0 && demand[workspace] <= p.operations.Config.Guaranteed(workspace),
		overdue:    age > overdueFactor*objective,
		slack:      objective - age - time.Duration(p.runTimes.Fastest()*float64(work)),
		minSlack:   p.stepSlack(g) - age,
		waitTime:   now.BootTime - g.job.firstSeen,
	}
	if p.runTimes.Interferes() {
		u.conflicts = p.runTimes.Conflicts(g.kind())
	}
	u.speedLimit = p.speedLimit(g, objective, age)
	u.deferrable = u.keepsHeadroom(objective)
	return u
}

// objective is the time in which an occurrence of a job should be done, counted from the job's acceptance or the
// occurrence's start time, whichever is later.
func (p *Planner) objective(j *job) time.Duration {
	queue := p.queue(j.spec)
	return time.Duration(max(queue.Stretch, 1)*float64(p.criticalPath(j))) + queue.Slack
}

// stepSlack is the time that the objective of a single step leaves beside its run, computed from the lower of the
// declared and the estimated run time.
func (p *Planner) stepSlack(g *group) time.Duration {
	queue, ok := p.operations.Config.Queue(g.job.spec.GetQueue())
	if !ok {
		return 0
	}
	return time.Duration(max(queue.Stretch-1, 0)*float64(min(p.work(g), declaredRunTime(g.step)))) + queue.Slack
}

// criticalPath is the expected run time of the longest dependency chain through a job's steps.
func (p *Planner) criticalPath(j *job) time.Duration {
	return longestChain(j, func(stepIndex int32) time.Duration { return p.stepWork(j, stepIndex) })
}

// declaredPath is the same from the declared run times.
func declaredPath(j *job) time.Duration {
	return longestChain(j, func(stepIndex int32) time.Duration {
		return declaredRunTime(j.spec.GetSteps()[stepIndex])
	})
}

func longestChain(j *job, runTime func(stepIndex int32) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.spec.GetSteps()))
	longest := time.Duration(0)
	for i, step := range j.spec.GetSteps() {
		for _, dependency := range step.GetDependsOn() {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += runTime(int32(i))
		longest = max(longest, ends[i])
	}
	return longest
}

func (p *Planner) priority(spec *cellpb.Job) int {
	return p.queue(spec).Priority
}

// queue returns the current settings of a job's queue or, if the queue was removed, those at the job's acceptance.
func (p *Planner) queue(spec *cellpb.Job) cell.Queue {
	if queue, ok := p.operations.Config.Queue(spec.GetQueue()); ok {
		return queue
	}
	return cell.Queue{
		Name:        spec.GetQueue(),
		Service:     spec.GetService(),
		Priority:    int(spec.GetPriority()),
		MaxFailures: int(spec.GetMaxFailures()),
		Stretch:     spec.GetStretch(),
		Slack:       time.Duration(spec.GetSlackMs()) * time.Millisecond,
	}
}

// guaranteedDemand returns, by workspace, the accelerators required by the unfinished work of priority 0.
func (p *Planner) guaranteedDemand() map[string]int64 {
	demand := map[string]int64{}
	for _, j := range p.jobs {
		if !j.active() || p.priority(j.spec) != 0 {
			continue
		}
		demand[j.spec.GetWorkspace()] += peakAccelerators(j.spec)
	}
	return demand
}

// peakAccelerators is the number of accelerators that the widest step of a job requests.
func peakAccelerators(spec *cellpb.Job) int64 {
	peak := int64(0)
	for _, step := range spec.GetSteps() {
		peak = max(peak, int64(step.GetCount())*step.GetAccelerators())
	}
	return peak
}

// compareUnits places on-time work before late work of the same priority. Late work is worth only a fraction, and
// placing it first would make the next unit late as well.
func compareUnits(x, y *schedulingUnit) int {
	if x.group != y.group {
		order := cmp.Or(
			compareTrueFirst(x.guaranteed, y.guaranteed),
			-compareTrueFirst(x.overdue, y.overdue),
			cmp.Compare(x.priority, y.priority),
			-compareTrueFirst(x.late(), y.late()),
			cmp.Compare(x.slack, y.slack),
		)
		if order != 0 {
			return order
		}
	}
	return compareTasks(x.tasks[0], y.tasks[0])
}

// late reports whether the unit is expected to miss its objective even if it starts now.
func (u *schedulingUnit) late() bool {
	return u.slack < 0
}

// compareTrueFirst orders true before false.
func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}
