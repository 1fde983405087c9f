package agent

import (
	"context"
	"sync"
	"time"
)

// task is a started member and what is known of it.
type task struct {
	key key
	// member is nil for a task that was found on the worker: its gang's members are not known, so its lease is not
	// renewed.
	member *member
	// launched is closed when the start was decided; err is set before if it was refused.
	launched chan struct{}
	err      error
	// ended is closed when the worker no longer runs the task.
	ended chan struct{}
	// settled is closed when the owner has acknowledged the end or the attempt no longer counts.
	settled chan struct{}
	mu      sync.Mutex
	// started is when the worker accepted the task.
	started  time.Time
	running  bool
	released bool
	stopping bool
	lapsing  bool
	// misses counts the lists in a row in which the worker did not name the task.
	misses  int
	endOnce sync.Once
	settle  sync.Once
}

func newTask(k key, m *member) *task {
	return &task{
		key:      k,
		member:   m,
		launched: make(chan struct{}),
		ended:    make(chan struct{}),
		settled:  make(chan struct{}),
	}
}

// awaitLaunch returns the reason if the start was refused.
func (t *task) awaitLaunch(ctx context.Context) error {
	select {
	case <-t.launched:
		return t.err
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // the caller's own cause.
	}
}

// finish records that the task ended and reports whether it was the first to do so.
func (t *task) finish() bool {
	first := false
	t.endOnce.Do(func() {
		close(t.ended)
		first = true
	})
	return first
}

func (t *task) isEnded() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// isRunning reports whether the worker accepted the start, also after the task has ended.
func (t *task) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

func (t *task) isReleased() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// launch records the outcome of the start.
func (t *task) launch(now time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = now
	t.running = err == nil
	t.err = err
	close(t.launched)
}

// miss counts a list, asked for at the given time, that did not name the task, and returns how many there were in a
// row. Lists from before the start say nothing.
func (t *task) miss(asked time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running || asked.Before(t.started) {
		return 0
	}
	t.misses++
	return t.misses
}

// release marks the task as released and reports whether it was the first to do so.
func (t *task) release() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.released
	t.released = true
	return first
}

// renewable reports whether the lease may be renewed, and whether this is the first time that it may not because the
// gang is incomplete.
func (t *task) renewable() (renew, lapsed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false, false
	}
	alive := t.member.watch.Alive()
	lapsed = !alive && !t.lapsing
	t.lapsing = !alive
	return alive, lapsed
}

func (t *task) seen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.misses = 0
}

// stop ends the renewals.
func (t *task) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

func (t *task) settleNow() {
	t.settle.Do(func() { close(t.settled) })
}
