package executorserver

import (
	"fmt"
	"sync"
)

// Record is what all executors of a test saw, and judges it.
type Record struct {
	mu      sync.Mutex
	running map[string]string
	done    map[string]bool
	starts  map[string]int
	broken  []string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		running: map[string]string{},
		done:    map[string]bool{},
		starts:  map[string]int{},
	}
}

// Broken returns the promises that were broken.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.broken...)
}

// Done reports whether a task ended done.
func (r *Record) Done(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// Starts returns how often a task was started.
func (r *Record) Starts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

func (r *Record) started(executor, task string, run int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	if at, ok := r.running[task]; ok {
		r.broken = append(r.broken, fmt.Sprintf("%s run %d started at %s while it ran at %s", task, run, executor, at))
	}
	if r.done[task] {
		r.broken = append(r.broken, fmt.Sprintf("%s run %d started at %s after it was done", task, run, executor))
	}
	r.running[task] = executor
}

func (r *Record) ended(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, task)
	if how == howDone {
		r.done[task] = true
	}
}
