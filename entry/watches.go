package entry

import "sync"

// watches wakes those who wait for one job's state.
type watches struct {
	mu   sync.Mutex
	jobs map[string]*watch
}

type watch struct {
	wake  chan struct{}
	count int
}

func newWatches() *watches {
	return &watches{
		jobs: map[string]*watch{},
	}
}

// add returns a channel that is closed at the next notify of the job. Call done when it is no longer needed.
func (w *watches) add(job string) (wake <-chan struct{}, done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	added, ok := w.jobs[job]
	if !ok {
		added = &watch{
			wake: make(chan struct{}),
		}
		w.jobs[job] = added
	}
	added.count++
	return added.wake, func() { w.remove(job, added) }
}

// notify wakes those who wait for the job.
func (w *watches) notify(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if found, ok := w.jobs[job]; ok {
		close(found.wake)
		delete(w.jobs, job)
	}
}

func (w *watches) remove(job string, removed *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed.count--
	if removed.count == 0 && w.jobs[job] == removed {
		delete(w.jobs, job)
	}
}
