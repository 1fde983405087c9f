package executorserver

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// RunStart is the start of a run.
type RunStart struct {
	At       time.Time
	Task     string
	Run      int32
	Executor string
	Zone     string
}

// Recorder collects the starts and ends of runs on all executors of a test, and checks the invariants for them.
type Recorder struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// runningOn is the executor of each running task.
	runningOn map[string]string
	// done is the executor, the run and the time of the end of each task that is done.
	done map[string]string
	// uncertain holds the tasks that are done, but whose end the scheduler may or may not have stored before the executor
	// restarted.
	uncertain map[string]bool
	starts    []RunStart
	// endCounts is the number of runs that ended in each way, such as "alone".
	endCounts  map[string]int
	violations []string
	gangs      map[string]*gang
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock clockwork.Clock) *Recorder {
	return &Recorder{
		clock:     clock,
		runningOn: map[string]string{},
		done:      map[string]string{},
		uncertain: map[string]bool{},
		endCounts: map[string]int{},
		gangs:     map[string]*gang{},
	}
}

// Violations returns descriptions of the violated invariants.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// IsDone reports whether a run of a task has ended with the kind endDone and the scheduler may have learned of it.
func (r *Recorder) IsDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, done := r.done[task]
	return done
}

// EndCount returns the number of runs that ended in a given way, such as "alone".
func (r *Recorder) EndCount(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endCounts[kind]
}

// RunningOn returns the executor that runs a task; empty means that it isn't running.
func (r *Recorder) RunningOn(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runningOn[task]
}

// StartCount returns the number of runs of a task that were started.
func (r *Recorder) StartCount(task string) int {
	count := 0
	for _, start := range r.StartsSince(time.Time{}) {
		if start.Task == task {
			count++
		}
	}
	return count
}

// StartsSince returns the runs that started after a time, in order.
func (r *Recorder) StartsSince(since time.Time) []RunStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []RunStart
	for _, start := range r.starts {
		if start.At.After(since) {
			starts = append(starts, start)
		}
	}
	return starts
}

func (r *Recorder) recordStart(start RunStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start.At = r.clock.Now()
	r.starts = append(r.starts, start)
	if at, ok := r.runningOn[start.Task]; ok {
		r.violations = append(r.violations, fmt.Sprintf("%s run %d started on %s while it was running on %s",
			start.Task, start.Run, start.Executor, at))
	}
	if at, done := r.done[start.Task]; done && !r.uncertain[start.Task] {
		r.violations = append(r.violations, fmt.Sprintf("%s run %d started on %s after it was done on %s",
			start.Task, start.Run, start.Executor, at))
	}
	r.runningOn[start.Task] = start.Executor
}

func (r *Recorder) recordEnd(task, kind, executor string, run int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runningOn, task)
	r.endCounts[kind]++
	if kind == endDone {
		delete(r.uncertain, task)
		r.done[task] = fmt.Sprintf("%s run %d %s", executor, run, r.clock.Now().Format(time.StampMilli))
	}
}

// recordLostEnd records that an executor restarted before the end of a task was acknowledged, so the task may run
// again. If no response contained the end, the scheduler can't have stored it, and the task no longer counts as done.
func (r *Recorder) recordLostEnd(task string, reported bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reported {
		delete(r.done, task)
		return
	}
	r.uncertain[task] = true
}
