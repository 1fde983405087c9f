package dispatch

import (
	"maps"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/runtimes"
)

// Planner holds the jobs and executors of a cell and makes the scheduling decisions. It isn't safe for concurrent use.
type Planner struct {
	config     Config
	operations cell.Operations
	jobs       map[string]*job
	executors  map[string]*executor
	runTimes   *runtimes.Model
	headroom   headroom
	// batch is the number of the batch that collects new decisions, committedBatch that of the last stored one.
	batch          int64
	committedBatch int64
	// runsByAgent holds the runs that may still exist, by agent.
	runsByAgent map[string]map[*taskRun]bool
	// progressedGroups holds the groups to learn run times from, which last happened at learnedAt.
	progressedGroups map[*group]bool
	learnedAt        time.Duration
	// replan is set when a change may allow pending work to be placed.
	replan bool
	// lastPlannedAt is when the last planning pass began.
	lastPlannedAt time.Duration
	// tookOverAt is when this scheduler took over.
	tookOverAt time.Duration
	// inheritedCapacities holds the executor sizes that the predecessor published.
	inheritedCapacities []*cellpb.Capacity
	droppedJobs         []*cellpb.Job
}

// Batch holds the progress records that must be stored before the corresponding orders are sent.
type Batch struct {
	Number int64
	// Progress holds the progress of jobs, or the parts of it that have changed. They are to be stored in this order.
	Progress []*cellpb.Progress
	// DroppedJobs holds the jobs to remove from the log.
	DroppedJobs []*cellpb.Job
}

// New returns an empty planner for a scheduler that takes over at now.
func New(config Config, now Instant) *Planner {
	return &Planner{
		config:           config.withDefaults(),
		jobs:             map[string]*job{},
		executors:        map[string]*executor{},
		runsByAgent:      map[string]map[*taskRun]bool{},
		runTimes:         runtimes.New(),
		headroom:         newHeadroom(),
		progressedGroups: map[*group]bool{},
		batch:            1,
		tookOverAt:       now.BootTime,
	}
}

// Commit makes the orders of a stored batch visible and acknowledges its ended runs.
func (p *Planner) Commit(number int64) {
	p.committedBatch = max(p.committedBatch, number)
	for _, e := range p.executors {
		if e.acknowledgeEnds(p.committedBatch) {
			e.ordersVersion++
		}
		for run := range p.runsByAgent[e.agent] {
			if run.batch == number {
				e.ordersVersion++
			}
		}
	}
}

// SetOperations applies the configuration that the operators published and their zone evacuations.
func (p *Planner) SetOperations(operations cell.Operations) {
	if operations.Config.Version != p.operations.Config.Version ||
		!maps.Equal(operations.EvacuatedZones, p.operations.EvacuatedZones) {
		p.replan = true
	}
	p.operations = operations
}

// SetJob adds a job that has just come into the log if the planner doesn't know it, and applies its cancellation if
// there is one.
func (p *Planner) SetJob(jobState cell.JobState, now Instant) {
	p.setJob(jobState, 0, now)
}

// RestoreJob does the same for a job that was in the log when this scheduler took over.
func (p *Planner) RestoreJob(jobState cell.JobState, now Instant) {
	age := time.Duration(now.WallMs-jobState.Job.GetAcceptedMs()) * time.Millisecond
	p.setJob(jobState, max(age, 0), now)
}

// setJob adds or cancels a job of an age.
func (p *Planner) setJob(jobState cell.JobState, age time.Duration, now Instant) {
	j, ok := p.jobs[jobState.Job.GetId()]
	if !ok {
		j = newJob(jobState.Job, now)
		j.restore(jobState.Progress, now)
		p.jobs[jobState.Job.GetId()] = j
		p.replan = true
		p.recordUrgentArrival(jobState, age, now)
		for _, run := range j.activeRuns() {
			p.addRun(run)
		}
		if j.active() {
			p.stopIncompleteGangs(j, now)
		} else {
			p.stopUnfinishedRuns(j, now)
		}
	}
	if jobState.Cancelled && !j.cancelled {
		p.cancelJob(j, now)
	}
}

// recordUrgentArrival records a job of priority 0 that was submitted lately.
func (p *Planner) recordUrgentArrival(jobState cell.JobState, age time.Duration, now Instant) {
	if jobState.Progress != nil || jobState.Cancelled || p.priority(jobState.Job) > 0 || age > headroomMemory {
		return
	}
	p.headroom.recordArrival(p.queue(jobState.Job).Service, peakAccelerators(jobState.Job), now.BootTime-age)
}

// TakeBatch returns the changes to store; the batch is empty if there are none.
func (p *Planner) TakeBatch() Batch {
	result := Batch{
		Number:      p.batch - 1,
		DroppedJobs: p.droppedJobs,
	}
	for _, j := range p.jobs {
		if !j.dirty {
			continue
		}
		j.dirty = false
		result.Progress = append(result.Progress, j.takeProgress()...)
	}
	p.droppedJobs = nil
	// An empty batch carries the previous number, so that storing it doesn't commit later decisions.
	if !result.Empty() {
		result.Number = p.batch
		p.batch++
	}
	return result
}

// Empty reports whether the batch contains no changes.
func (b Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.DroppedJobs) == 0
}

func (p *Planner) executor(agent string) *executor {
	e, ok := p.executors[agent]
	if !ok {
		e = &executor{
			agent:   agent,
			orphans: map[string]*cellpb.Stop{},
		}
		p.executors[agent] = e
	}
	return e
}

// addRun registers a run that may exist from now on; removeRun removes one that certainly no longer exists.
func (p *Planner) addRun(run *taskRun) {
	run.task.run = run
	if p.runsByAgent[run.agent] == nil {
		p.runsByAgent[run.agent] = map[*taskRun]bool{}
	}
	p.runsByAgent[run.agent][run] = true
}

func (p *Planner) removeRun(run *taskRun) {
	run.task.run = nil
	run.task.isolatedUntil = 0
	delete(p.runsByAgent[run.agent], run)
	p.replan = true
}

// runsAt returns the runs that may exist at an agent's executor.
func (p *Planner) runsAt(agent string) []*taskRun {
	return slices.Collect(maps.Keys(p.runsByAgent[agent]))
}

// notifyAgent marks the agent's orders as changed, so that a waiting report is answered.
func (p *Planner) notifyAgent(agent string) {
	if e, ok := p.executors[agent]; ok {
		e.ordersVersion++
	}
}

func (p *Planner) eachRun(visit func(run *taskRun)) {
	for _, runs := range p.runsByAgent {
		for run := range runs {
			visit(run)
		}
	}
}

func (p *Planner) findTask(taskID string) *task {
	id, err := cell.ParseTaskID(taskID)
	if err != nil {
		return nil
	}
	j, ok := p.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.task(id)
}
