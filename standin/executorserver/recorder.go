package executorserver

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxCrashes is the number of executors that a task may crash before its starts are counted, and
	// maxStartsAfterCrashes the number of starts that it may have after that. The users' rule is broken by one more:
	// innocent tasks lose their executors as well, and must not be given up too early.
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
	// eventTimeFormat is the format of the times in the processes' logs.
	eventTimeFormat = "2006-01-02T15:04:05.000"
)

// RunStart is the start of a run.
type RunStart struct {
	At       time.Time
	Task     string
	Run      int32
	Executor string
	Zone     string
	// Late is set if the executor carried out the order after its connection was closed, Unfenced if it did so before
	// any other call had reached the incarnation. Orders name an executor only by its id, so that nothing can prevent
	// that.
	Late     bool
	Unfenced bool
}

// String returns the run, its place and the time of its start.
func (s RunStart) String() string {
	text := fmt.Sprintf("%s run %d on %s at %s", s.Task, s.Run, s.Executor, s.At.Format(time.StampMilli))
	if s.Late {
		text += " (carried out late)"
	}
	return text
}

// Recorder collects the starts and ends of runs on all executors of a test, and checks the invariants for them.
type Recorder struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// running holds the runs of each task on executors that are up.
	running map[string][]RunStart
	// done holds the end of each task that is done.
	done   map[string]*taskEnd
	starts []RunStart
	// endCounts is the number of runs that ended in each way, such as "alone".
	endCounts  map[string]int
	violations []string
	// knownViolations describes the violations that an unfenced start caused.
	knownViolations []string
	gangs           map[string]*gang
	// failedRuns holds the runs of each gang, by its step, that had a failed member. The value is set once a hold has
	// acknowledged the end of such a member.
	failedRuns map[string]map[int32]bool
	// maxGangFailures is the number of failed runs after which a gang must not start again; 0 means no limit.
	maxGangFailures int
	// crashes is the number of executors that crashed under each task. startsAfterCrashes is the number of its starts
	// after maxCrashes of them.
	crashes            map[string]int
	startsAfterCrashes map[string]int
	// knownStartsAfterCrashes is the number of starts after maxCrashes up to which too many of them are a known violation.
	knownStartsAfterCrashes int
	// lateStartsKnown is set if a late start of a task that is done on the same executor is a known violation.
	lateStartsKnown bool
	// crashedRuns is the number of runs of each task on executors that crashed, whatever the cause.
	crashedRuns map[string]int
	// events is a log of what the executors did.
	events []string
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock clockwork.Clock) *Recorder {
	return &Recorder{
		clock:              clock,
		running:            map[string][]RunStart{},
		done:               map[string]*taskEnd{},
		endCounts:          map[string]int{},
		gangs:              map[string]*gang{},
		failedRuns:         map[string]map[int32]bool{},
		crashes:            map[string]int{},
		startsAfterCrashes: map[string]int{},
		crashedRuns:        map[string]int{},
	}
}

// Events returns a log of what the executors did, in order.
func (r *Recorder) Events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Violations returns descriptions of the violated invariants.
func (r *Recorder) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.violations), r.crashViolations(func(starts int) bool {
		return starts > r.knownStartsAfterCrashes
	})...)
}

// KnownViolations returns descriptions of the violations that KNOWN-RED.txt lists: those that unfenced starts caused
// and, after SetKnownStartsAfterCrashes, those of tasks that crash executors.
func (r *Recorder) KnownViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.knownViolations), r.crashViolations(func(starts int) bool {
		return starts <= r.knownStartsAfterCrashes
	})...)
}

// crashViolations describes the tasks that were started too often after they had crashed executors, as far as their
// number of starts is selected.
func (r *Recorder) crashViolations(selected func(starts int) bool) []string {
	var violations []string
	for _, task := range slices.Sorted(maps.Keys(r.startsAfterCrashes)) {
		starts := r.startsAfterCrashes[task]
		if starts <= maxStartsAfterCrashes || !selected(starts) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s was started %d times after %d executors had crashed under it, "+
			"%d executors crashed", task, starts, maxCrashes, r.crashes[task]))
	}
	return violations
}

// SetLateStartsKnown makes late starts of tasks that are done on the same executor known violations. By default only
// unfenced ones are.
func (r *Recorder) SetLateStartsKnown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateStartsKnown = true
}

// SetKnownStartsAfterCrashes sets the number of starts after maxCrashes up to which more than allowed are a known
// violation. By default none is.
func (r *Recorder) SetKnownStartsAfterCrashes(starts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knownStartsAfterCrashes = starts
}

// IsDone reports whether a run of a task has ended with the kind endDone and the scheduler may have learned of it.
func (r *Recorder) IsDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, done := r.done[task]
	return done
}

// CrashCount returns the number of executors that crashed under a task.
func (r *Recorder) CrashCount(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes[task]
}

// EndCount returns the number of runs that ended in a given way, such as "alone".
func (r *Recorder) EndCount(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endCounts[kind]
}

// SetMaxGangFailures sets the number of failed runs after which a gang must not start again, whatever the number of
// members that failed.
func (r *Recorder) SetMaxGangFailures(maxFailures int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxGangFailures = maxFailures
}

// FailedRunCount returns the number of runs of a task's gang in which a member failed, and for how many of them a hold
// has acknowledged the end of such a member.
func (r *Recorder) FailedRunCount(task string) (failed, acknowledged int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.failedRuns[stepID(task)]), r.acknowledgedFailures(task)
}

func (r *Recorder) acknowledgedFailures(task string) int {
	count := 0
	for _, acknowledged := range r.failedRuns[stepID(task)] {
		if acknowledged {
			count++
		}
	}
	return count
}

// RunningOn returns the executor that runs a task; empty means that it isn't running.
func (r *Recorder) RunningOn(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running[task]) == 0 {
		return ""
	}
	return r.running[task][0].Executor
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

// recordStart records that an executor has started a run, and checks that no other run of the task exists, that the
// task isn't done, and that it hasn't crashed too many executors or failed too often as a gang. An order that is
// carried out late doesn't count for the latter two, since it may have been sent before.
func (r *Recorder) recordStart(start RunStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start.At = r.clock.Now()
	r.starts = append(r.starts, start)
	r.addEvent("started %s", start)
	for _, other := range r.running[start.Task] {
		known := start.Unfenced || other.Unfenced
		r.addStartViolation(known, "%s was started while it was running as %s", start, other)
	}
	if end, done := r.done[start.Task]; done && !end.uncertain {
		late := r.lateStartsKnown && start.Late && start.Executor == end.executor
		known := start.Unfenced || end.unfenced || late
		r.addStartViolation(known, "%s was started after it was done on %s", start, end)
	}
	if r.crashes[start.Task] >= maxCrashes && !start.Late {
		r.startsAfterCrashes[start.Task]++
	}
	if count := r.acknowledgedFailures(start.Task); r.maxGangFailures > 0 && count >= r.maxGangFailures && !start.Late {
		r.addViolation("%s was started after %d runs of its gang had failed", start, count)
	}
	r.running[start.Task] = append(r.running[start.Task], start)
}

// addStartViolation records a violation; a known one is caused by an unfenced start.
func (r *Recorder) addStartViolation(known bool, format string, args ...any) {
	if !known {
		r.addViolation(format, args...)
		return
	}
	text := fmt.Sprintf(format, args...)
	r.knownViolations = append(r.knownViolations, text)
	r.addEvent("KNOWN VIOLATION %s", text)
}

func (r *Recorder) recordEnd(task, kind, executor string, run int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEvent("ended %s run %d on %s as %s", task, run, executor, kind)
	unfenced := false
	r.running[task] = slices.DeleteFunc(r.running[task], func(start RunStart) bool {
		ended := start.Run == run && start.Executor == executor
		unfenced = unfenced || (ended && start.Unfenced)
		return ended
	})
	r.endCounts[kind]++
	if kind == endFailed && r.gangs[gangKey(task, run)] != nil {
		r.recordGangFailure(task, run)
	}
	if kind == endDone && !r.done[task].isAcknowledged() {
		r.done[task] = &taskEnd{
			executor:        executor,
			run:             run,
			at:              r.clock.Now(),
			acknowledgement: notAcknowledged,
			unfenced:        unfenced,
		}
	}
}

// recordAcknowledgedEnd records that a hold has acknowledged the end of a run.
func (r *Recorder) recordAcknowledgedEnd(key runKey, executor string, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.done[key.task]
	if end == nil || end.run != key.run || end.executor != executor {
		return
	}
	end.acknowledgement = "end acknowledged"
	if late {
		end.acknowledgement = "end acknowledged by a late hold"
	}
}

// recordGangFailure records that a member of a gang's run has failed.
func (r *Recorder) recordGangFailure(task string, run int32) {
	step := stepID(task)
	if r.failedRuns[step] == nil {
		r.failedRuns[step] = map[int32]bool{}
	}
	if _, known := r.failedRuns[step][run]; !known {
		r.failedRuns[step][run] = false
	}
}

// recordAcknowledgedFailure records that a hold has acknowledged the end of a failed run.
func (r *Recorder) recordAcknowledgedFailure(key runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.failedRuns[stepID(key.task)]; runs != nil {
		runs[key.run] = true
	}
}

// CrashedRunCount returns the number of runs of a task on executors that crashed, whatever the cause.
func (r *Recorder) CrashedRunCount(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashedRuns[task]
}

// recordCrashedRun records that an executor crashed under a run of a task.
func (r *Recorder) recordCrashedRun(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashedRuns[task]++
}

// recordCrash records that a task has crashed its executor.
func (r *Recorder) recordCrash(task, executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEvent("%s crashed under %s", executor, task)
	r.crashes[task]++
}

// recordExcess records that a start took an executor without admission check over its capacity.
func (r *Recorder) recordExcess(task, executor string, inUse, capacity int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation("%s was started on %s, which then used %d of %d accelerators", task, executor, inUse, capacity)
}

// RecordEvent adds a line to the log of events.
func (r *Recorder) RecordEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEvent(format, args...)
}

func (r *Recorder) addEvent(format string, args ...any) {
	r.events = append(r.events, r.clock.Now().UTC().Format(eventTimeFormat)+" "+fmt.Sprintf(format, args...))
}

func (r *Recorder) addViolation(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, violation)
	r.addEvent("VIOLATION %s", violation)
}

// recordLostEnd records that an executor restarted before the end of a run was acknowledged. If the task was done with
// that run, it may run again; if no response contained the end, the scheduler can't have stored it, and the task no
// longer counts as done. An acknowledged end stands: what is lost then is that of a late start of the same run.
func (r *Recorder) recordLostEnd(key runKey, executor string, reported bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.done[key.task]
	if end == nil || end.run != key.run || end.executor != executor || end.isAcknowledged() {
		return
	}
	end.uncertain = true
	if !reported {
		delete(r.done, key.task)
	}
}
