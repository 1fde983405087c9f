package executorserver

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member waits until all members have started.
const gangTimeout = 3 * time.Second

// gang is one run of a gang, whose members run on several executors.
type gang struct {
	mu     sync.Mutex
	size   int
	joined map[string]bool
	// fails is set if the members of this run fail, together if the failure of one doesn't break the others.
	fails    bool
	together bool
	// failed is set once a member has failed while the others were to fail with it.
	failed bool
	// broken is set once a member has ended with a kind other than endDone before the gang was done or has failed
	// together.
	broken bool
	// done is set once a member has ended with the kind endDone.
	done bool
	// started is set once all members have joined.
	started bool
}

func (g *gang) join(task string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joined[task] = true
	g.started = g.started || len(g.joined) >= g.size
}

// recordMemberEnd records how a member ended. All members are done or fail together at the same time, so an earlier end
// of another kind breaks the gang.
func (g *gang) recordMemberEnd(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if kind == endDone {
		g.done = true
		return
	}
	g.failed = g.failed || (kind == endFailed && g.together)
	g.broken = !g.done && !g.failed
}

// isRunning reports whether all members run.
func (g *gang) isRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started && !g.broken && !g.failed
}

// hasFailedTogether reports whether the members that still run are to fail as another one did.
func (g *gang) hasFailedTogether() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

func (g *gang) state() (broken, done, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken, g.done, g.started
}

// gang returns the gang that a run of a task belongs to.
func (r *Recorder) gang(taskID string, run int32, taskSpec spec) *gang {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := gangKey(taskID, run)
	if r.gangs[key] == nil {
		r.gangs[key] = &gang{
			size:     taskSpec.gangSize,
			joined:   map[string]bool{},
			fails:    taskSpec.failsAfter(len(r.failedRuns[stepID(taskID)])),
			together: taskSpec.together,
		}
	}
	return r.gangs[key]
}

// stepID returns the id of a task's step. A task id ends with the task's index within its step.
func stepID(taskID string) string {
	return taskID[:max(strings.LastIndex(taskID, "."), 0)]
}

func gangKey(taskID string, run int32) string {
	return stepID(taskID) + "/" + strconv.Itoa(int(run))
}
