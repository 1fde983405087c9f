package dispatch

import (
	"cmp"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// job is an accepted job and its tasks.
type job struct {
	spec      *cellpb.Job
	cancelled bool
	state     cellpb.State
	// begun is set once a run of the job was reported as running or ended.
	begun   bool
	endedMs int64
	// groups holds one group for each step of each open occurrence.
	groups []*group
	// openedOccurrences is the number of occurrences that have groups.
	openedOccurrences int32
	// dirty is set while the job has changes that are in no batch yet.
	dirty bool
	// partSums is used if the job's progress is stored in parts.
	partSums partSums
	// restored is set if an earlier scheduler stored progress.
	restored bool
	// firstSeen is when the scheduler learned of the job.
	firstSeen time.Duration
	history   jobHistory
	// knownWork holds the work of the steps that have been seen to run, by step.
	knownWork map[int32]time.Duration
}

// group holds the tasks of one step of one occurrence.
type group struct {
	job        *job
	step       *cellpb.Step
	occurrence int32
	stepIndex  int32
	tasks      []*task
	// gangAttempts is used if the group is a gang.
	gangAttempts attempts
	// adviceCache is used if the queue needs advice.
	adviceCache adviceCache
}

// task is one task of a group.
type task struct {
	group      *group
	id         cell.TaskID
	runNumber  int32
	done       bool
	checkpoint string
	// ownAttempts is used unless the task belongs to a gang.
	ownAttempts attempts
	// run is the task's current run, which may still exist at its executor; nil if there is none.
	run *taskRun
	// migrated is set once a run of the task was migrated from a slow executor.
	migrated bool
	crashes  crashHistory
	// runTime is how long the newest run of which that is known takes, at runTimeAgent; 0 if none is known.
	runTime      time.Duration
	runTimeAgent string
	// runTimeBeside holds the kinds of the tasks beside that run.
	runTimeBeside []string
	// isolatedUntil ends the wait of a suspect task for an executor of its own; 0 if it hasn't begun.
	isolatedUntil time.Duration
}

// taskRun is one run of a task at an executor, from its order until its end is known.
type taskRun struct {
	task        *task
	runNumber   int32
	agent       string
	incarnation string
	// batch is the number of the batch that must be stored before the order is sent.
	batch int64
	// sent is set once the order may have reached the agent, restored if an earlier scheduler sent it.
	sent      bool
	restored  bool
	running   bool
	stopping  bool
	startedAt time.Duration
	percent   int32
	// startedClock and progressedClock are the readings of the executor's clock at which the run was first listed and
	// at which percent last changed. Progress is measured on that clock, because a report may be late or hold old
	// lists.
	startedClock    time.Duration
	progressedClock time.Duration
	// basePercent is the progress from which the run resumed, or at which this scheduler first saw it.
	basePercent int32
	// pace holds the progress from which the run time is learned.
	pace pace
	// learnedPace is the pace that was last learned from.
	learnedPace pace
	// earlierRunTime is the estimated run time of a restored run before this scheduler first saw it listed.
	earlierRunTime time.Duration
	// checkpointedAt is when the run last wrote a checkpoint.
	checkpointedAt time.Duration
}

func newJob(spec *cellpb.Job, now Instant) *job {
	return &job{
		spec:      spec,
		state:     cellpb.State_STATE_QUEUED,
		firstSeen: now.BootTime,
		partSums:  partSums{},
	}
}

func (j *job) active() bool {
	return j.state == cellpb.State_STATE_QUEUED || j.state == cellpb.State_STATE_RUNNING
}

// openOccurrence adds the groups of an occurrence.
func (j *job) openOccurrence(occurrence int32) {
	for stepIndex, step := range j.spec.GetSteps() {
		g := &group{
			job:        j,
			step:       step,
			occurrence: occurrence,
			stepIndex:  int32(stepIndex),
		}
		for index := range step.GetCount() {
			g.tasks = append(g.tasks, &task{
				group: g,
				id: cell.TaskID{
					Job:        j.spec.GetId(),
					Occurrence: occurrence,
					Step:       int32(stepIndex),
					Index:      index,
				},
			})
		}
		j.groups = append(j.groups, g)
	}
	j.openedOccurrences = occurrence + 1
}

func (j *job) group(occurrence, step int32) *group {
	index := int(occurrence)*len(j.spec.GetSteps()) + int(step)
	if occurrence < 0 || step < 0 || int(step) >= len(j.spec.GetSteps()) || index >= len(j.groups) {
		return nil
	}
	return j.groups[index]
}

func (j *job) task(id cell.TaskID) *task {
	g := j.group(id.Occurrence, id.Step)
	if g == nil || id.Index < 0 || int(id.Index) >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

// dueMs returns the earliest start of an occurrence, in milliseconds since the Unix epoch.
func (j *job) dueMs(occurrence int32) int64 {
	return j.spec.GetStartMs() + int64(occurrence)*j.spec.GetIntervalMs()
}

func (j *job) allDone() bool {
	if j.openedOccurrences < j.spec.GetOccurrences() {
		return false
	}
	for _, g := range j.groups {
		if !g.done() {
			return false
		}
	}
	return true
}

// activeRuns returns the job's runs that may still exist.
func (j *job) activeRuns() []*taskRun {
	var runs []*taskRun
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if t.run != nil {
				runs = append(runs, t.run)
			}
		}
	}
	return runs
}

// progress returns the job's progress.
func (j *job) progress() *cellpb.Progress {
	record := &cellpb.Progress{
		Id:      j.spec.GetId(),
		State:   j.state,
		Begun:   j.begun,
		EndedMs: j.endedMs,
	}
	if !j.active() {
		// After a takeover, the next scheduler needs only the runs that may still exist, to stop them.
		for _, run := range j.activeRuns() {
			record.Tasks = append(record.Tasks, run.task.record())
		}
		return record
	}
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if t.runNumber > 0 {
				record.Tasks = append(record.Tasks, t.record())
			}
		}
	}
	return record
}

// restore restores the state that an earlier scheduler recorded.
func (j *job) restore(record *cellpb.Progress, now Instant) {
	if record == nil {
		return
	}
	j.restored = true
	j.state = max(record.GetState(), cellpb.State_STATE_QUEUED)
	j.begun = record.GetBegun()
	j.endedMs = record.GetEndedMs()
	tasks := slices.SortedFunc(slices.Values(record.GetTasks()), func(x, y *cellpb.Task) int {
		return cmp.Compare(x.GetOccurrence(), y.GetOccurrence())
	})
	for _, recorded := range tasks {
		for j.openedOccurrences <= recorded.GetOccurrence() && j.openedOccurrences < j.spec.GetOccurrences() {
			j.openOccurrence(j.openedOccurrences)
		}
		t := j.task(cell.TaskID{
			Occurrence: recorded.GetOccurrence(),
			Step:       recorded.GetStep(),
			Index:      recorded.GetIndex(),
		})
		if t != nil {
			t.restore(recorded, now)
		}
	}
}

// done reports whether all tasks of the group completed successfully. Persistent tasks never do.
func (g *group) done() bool {
	for _, t := range g.tasks {
		if !t.done {
			return false
		}
	}
	return true
}

// hasNoRuns reports whether no run of the group can still exist.
func (g *group) hasNoRuns() bool {
	for _, t := range g.tasks {
		if t.run != nil {
			return false
		}
	}
	return true
}

// ready reports whether the group's dependencies are done and its start time has passed.
func (g *group) ready(now Instant) bool {
	if now.WallMs < g.job.dueMs(g.occurrence) {
		return false
	}
	for _, dependency := range g.step.GetDependsOn() {
		if !g.job.group(g.occurrence, dependency).done() {
			return false
		}
	}
	return true
}

// waitingSince is when the task was submitted or, if it failed since, may run again.
func (t *task) waitingSince() time.Duration {
	return max(t.group.job.firstSeen, t.attempts().retryAt)
}

// expectation returns log fields with the run that the planner expects of a task, which may be nil.
func (t *task) expectation() []any {
	switch {
	case t == nil:
		return []any{"known", false}
	case t.run == nil:
		return []any{"last", t.runNumber, "done", t.done}
	}
	return []any{"expected", t.run.runNumber, "at", t.run.agent, "running", t.run.running, "done", t.done}
}

func (t *task) record() *cellpb.Task {
	failures := t.attempts().failures
	record := &cellpb.Task{
		Occurrence: t.id.Occurrence,
		Step:       t.id.Step,
		Index:      t.id.Index,
		Run:        t.runNumber,
		Failures:   failures.runs,
		FailedRun:  failures.newest,
		Done:       t.done,
		Checkpoint: t.checkpoint,
		Crashes:    t.crashes.records(),
		Suspect:    t.crashes.suspect,
	}
	if t.run != nil {
		record.Agent = t.run.agent
		record.Executor = t.run.incarnation
	}
	return record
}

func (t *task) restore(record *cellpb.Task, now Instant) {
	t.runNumber = record.GetRun()
	t.done = record.GetDone()
	t.checkpoint = record.GetCheckpoint()
	t.crashes = newCrashHistory(record)
	t.attempts().restore(record)
	if record.GetAgent() == "" {
		return
	}
	t.run = &taskRun{
		task:           t,
		runNumber:      t.runNumber,
		agent:          record.GetAgent(),
		incarnation:    record.GetExecutor(),
		sent:           true,
		restored:       true,
		startedAt:      now.BootTime,
		checkpointedAt: now.BootTime,
	}
}
