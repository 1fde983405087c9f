package replay

import (
	"maps"
	"time"

	"radishpath.example/radishpath/placement"
)

// viewRefreshInterval is how often the entries refresh their view of the cluster: the interval of the agents'
// announcements.
const viewRefreshInterval = 500 * time.Millisecond

// OptimisticScheduler places jobs without a central scheduler, with optimistic concurrency control: several entries
// decide on their own views of the free accelerators, which are refreshed every 500 ms. A placement that needs
// accelerators which are already taken fails as a whole, and the job is queued again.
type OptimisticScheduler struct {
	entries     []*Baseline
	actual      *Baseline
	entryByJob  map[string]int
	submitted   int
	refreshedAt time.Time
	// Attempts counts the placement attempts per job, Conflicts those that failed.
	Attempts  map[string]int
	Conflicts map[string]int
}

// NewOptimisticScheduler returns a scheduler with the given number of entries. Each entry places the job with the
// shortest declared run time first, with best fit.
func NewOptimisticScheduler(entries int) *OptimisticScheduler {
	o := &OptimisticScheduler{
		actual:     NewShortestFirst(),
		entryByJob: map[string]int{},
		Attempts:   map[string]int{},
		Conflicts:  map[string]int{},
	}
	for range entries {
		o.entries = append(o.entries, NewShortestFirst())
	}
	return o
}

// Cancel implements Scheduler.
func (o *OptimisticScheduler) Cancel(now time.Time, id string) {
	o.entries[o.entryByJob[id]].Cancel(now, id)
}

// Decide lets every entry decide on its view and commits the placements that do not conflict with the actual state.
func (o *OptimisticScheduler) Decide(now time.Time) []placement.Decision {
	if now.Sub(o.refreshedAt) >= viewRefreshInterval {
		o.refreshedAt = now
		for _, e := range o.entries {
			e.freeMasks = maps.Clone(o.actual.freeMasks)
		}
	}
	var decisions []placement.Decision
	for _, e := range o.entries {
		for _, d := range e.Decide(now) {
			o.Attempts[d.Job]++
			if o.commit(d) {
				decisions = append(decisions, d)
				continue
			}
			o.Conflicts[d.Job]++
			delete(e.running, d.Job)
			e.queue = append(e.queue, e.jobs[d.Job])
		}
	}
	return decisions
}

// Ended implements Scheduler. Only the entry that owns the job learns of the end before the next refresh.
func (o *OptimisticScheduler) Ended(now time.Time, id string, result placement.Result) {
	o.actual.Ended(now, id, result)
	o.entries[o.entryByJob[id]].Ended(now, id, result)
}

// SetPolicy implements Scheduler.
func (o *OptimisticScheduler) SetPolicy(p placement.Policy) {
	for _, e := range o.entries {
		e.SetPolicy(p)
	}
}

// SetWorker implements Scheduler.
func (o *OptimisticScheduler) SetWorker(now time.Time, w placement.Worker) {
	o.actual.SetWorker(now, w)
	for _, e := range o.entries {
		e.SetWorker(now, w)
	}
}

// Submit assigns the jobs to the entries in round-robin order, as a load balancer does.
func (o *OptimisticScheduler) Submit(now time.Time, j placement.Job) error {
	o.entryByJob[j.ID] = o.submitted % len(o.entries)
	o.submitted++
	return o.entries[o.entryByJob[j.ID]].Submit(now, j)
}

// commit takes all accelerators of a placement, or none if one of them is already taken.
func (o *OptimisticScheduler) commit(d placement.Decision) bool {
	for _, m := range d.Members {
		if o.actual.freeMasks[m.Worker]&m.Accelerators != m.Accelerators {
			return false
		}
	}
	for _, m := range d.Members {
		o.actual.freeMasks[m.Worker] &^= m.Accelerators
	}
	o.actual.running[d.Job] = d
	return true
}
