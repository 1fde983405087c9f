package replay

import (
	"maps"
	"time"

	"radishpath.example/radishpath/placement"
)

// refresh is how old the view of an entry without a placer gets: the period of the agents' announcements.
const refresh = 500 * time.Millisecond

// Optimistic is placement without a placer: several entries decide on their own views of the free accelerators, which
// agents refresh every 500 ms, and a hold that meets taken accelerators fails as a whole and is tried again.
type Optimistic struct {
	entries []*Baseline
	truth   *Baseline
	owner   map[string]int
	next    int
	seen    time.Time
	// Holds counts attempts per job, Conflicts those that failed.
	Holds     map[string]int
	Conflicts map[string]int
}

// NewOptimistic returns entries that place the shortest declared run time first with best fit.
func NewOptimistic(entries int) *Optimistic {
	o := &Optimistic{
		truth:     NewShortest(),
		owner:     map[string]int{},
		Holds:     map[string]int{},
		Conflicts: map[string]int{},
	}
	for range entries {
		o.entries = append(o.entries, NewShortest())
	}
	return o
}

// Cancel implements Placer.
func (o *Optimistic) Cancel(now time.Time, id string) {
	o.entries[o.owner[id]].Cancel(now, id)
}

// Decide lets every entry decide on its view and checks the outcome against the truth.
func (o *Optimistic) Decide(now time.Time) []placement.Decision {
	if now.Sub(o.seen) >= refresh {
		o.seen = now
		for _, e := range o.entries {
			e.free = maps.Clone(o.truth.free)
		}
	}
	var out []placement.Decision
	for _, e := range o.entries {
		for _, d := range e.Decide(now) {
			o.Holds[d.Job]++
			if o.hold(d) {
				out = append(out, d)
				continue
			}
			o.Conflicts[d.Job]++
			delete(e.running, d.Job)
			e.queue = append(e.queue, e.jobs[d.Job])
		}
	}
	return out
}

// Ended implements Placer; only the owner learns of the end before the next announcement.
func (o *Optimistic) Ended(now time.Time, id string, result placement.Result) {
	o.truth.Ended(now, id, result)
	o.entries[o.owner[id]].Ended(now, id, result)
}

// SetPolicy implements Placer.
func (o *Optimistic) SetPolicy(p placement.Policy) {
	for _, e := range o.entries {
		e.SetPolicy(p)
	}
}

// SetWorker implements Placer.
func (o *Optimistic) SetWorker(now time.Time, w placement.Worker) {
	o.truth.SetWorker(now, w)
	for _, e := range o.entries {
		e.SetWorker(now, w)
	}
}

// Submit gives the jobs to the entries in turn, as a load balancer does.
func (o *Optimistic) Submit(now time.Time, j placement.Job) error {
	o.owner[j.ID] = o.next % len(o.entries)
	o.next++
	return o.entries[o.owner[j.ID]].Submit(now, j)
}

// hold takes all accelerators of a decision, or none.
func (o *Optimistic) hold(d placement.Decision) bool {
	for _, m := range d.Members {
		if o.truth.free[m.Worker]&m.Accelerators != m.Accelerators {
			return false
		}
	}
	for _, m := range d.Members {
		o.truth.free[m.Worker] &^= m.Accelerators
	}
	o.truth.running[d.Job] = d
	return true
}
