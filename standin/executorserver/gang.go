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
	// broken is set once a member has ended with a kind other than endDone before the gang was done.
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

// recordMemberEnd records how a member ended. All members are done at the same time, so an earlier end of another kind
// breaks the gang.
func (g *gang) recordMemberEnd(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if kind == endDone {
		g.done = true
		return
	}
	g.broken = !g.done
}

// isRunning reports whether all members run.
func (g *gang) isRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started && !g.broken
}

func (g *gang) state() (broken, done, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken, g.done, g.started
}

// gang returns the gang that a run of a task belongs to. A task id ends with the task's index within its step.
func (r *Recorder) gang(taskID string, run int32, size int) *gang {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := taskID[:strings.LastIndex(taskID, ".")] + "/" + strconv.Itoa(int(run))
	if r.gangs[key] == nil {
		r.gangs[key] = &gang{
			size:   size,
			joined: map[string]bool{},
		}
	}
	return r.gangs[key]
}
