package entry

import (
	"context"
	"sync"
	"time"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// drainLimit is how long a leaving entry lets its requests finish.
	drainLimit = 10 * time.Second
	drainPoll  = 20 * time.Millisecond
)

// owner runs the jobs that this entry owns.
type owner struct {
	entry *Entry
	wake  chan struct{}

	mu      sync.Mutex
	pending []ledger.State
	runners map[string]*runner
	// adopted marks jobs that came from another entry.
	adopted map[string]bool
	// draining keeps queued jobs from starting because they are about to be handed over.
	draining bool
	running  sync.WaitGroup
}

func newOwner(e *Entry) *owner {
	return &owner{
		entry:   e,
		wake:    make(chan struct{}, 1),
		runners: map[string]*runner{},
		adopted: map[string]bool{},
	}
}

// add queues a job that this entry owns from now on.
func (o *owner) add(state ledger.State, adopted bool) {
	o.mu.Lock()
	o.pending = append(o.pending, state)
	if adopted {
		o.adopted[state.Job.GetId()] = true
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// cancel passes a caller's cancellation on.
func (o *owner) cancel(job string) {
	if r, ok := o.get(job); ok {
		r.cancel()
	}
}

// deliver passes a report to the job's runner.
func (o *owner) deliver(report *peerpb.Report) bool {
	r, ok := o.get(report.GetJob())
	return ok && r.deliver(report)
}

// direct returns the workspace of a request that is served without a record.
func (o *owner) direct(job string) (string, bool) {
	r, ok := o.get(job)
	if !ok || !r.direct {
		return "", false
	}
	return r.job.GetWorkspace(), true
}

// drain waits until no job is between its start and the moment at which another entry can find its work. Requests get
// drainLimit to finish; what still runs then is found at its agent by the next owner.
func (o *owner) drain(ctx context.Context) {
	limit := o.entry.config.Clock.Now().Add(drainLimit)
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for o.isBusy() && o.entry.config.Clock.Now().Before(limit) && ctx.Err() == nil {
		o.entry.pause(ctx, drainPoll)
	}
}

// get returns a job's runner.
func (o *owner) get(job string) (*runner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.runners[job]
	return r, ok
}

// isBusy says whether a job cannot be handed over right now.
func (o *owner) isBusy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runners {
		if !r.movable.Load() {
			return true
		}
	}
	return len(o.pending) > 0
}

// isDraining says whether queued jobs must not start any more.
func (o *owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// run starts a goroutine per job and waits for all of them when ctx ends.
func (o *owner) run(ctx context.Context) error {
	defer o.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		}
		for _, state := range o.take() {
			o.start(state)
		}
	}
}

// startDirect serves a request without a record.
func (o *owner) startDirect(job *peerpb.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.runners[job.GetId()]; ok {
		return
	}
	r := newRunner(o.entry, ledger.State{
		Job: job,
	}, false)
	r.direct = true
	o.launch(r)
}

func (o *owner) take() []ledger.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.pending
	o.pending = nil
	return taken
}

// start runs a job unless a runner of the same generation exists.
func (o *owner) start(state ledger.State) {
	id := state.Job.GetId()
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing, ok := o.runners[id]; ok && existing.generation >= state.Generation {
		return
	}
	r := newRunner(o.entry, state, o.adopted[id])
	delete(o.adopted, id)
	if state.Cancelled {
		r.cancel()
	}
	o.launch(r)
}

// launch runs a job until it has ended or the entry stops.
func (o *owner) launch(r *runner) {
	o.runners[r.job.GetId()] = r
	o.running.Go(func() {
		r.run(o.entry.running)
		o.remove(r)
	})
}

func (o *owner) remove(r *runner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runners[r.job.GetId()] == r {
		delete(o.runners, r.job.GetId())
	}
}
