package placement

import (
	"slices"
	"time"
)

// state is where a job is between Submit and its end.
type state int

const (
	// queued jobs are in a class of their workspace.
	queued state = iota
	// claiming jobs have a place that is being vacated for them.
	claiming
	running
	// evicting jobs occupy their place until Ended.
	evicting
)

// mode is the right by which a running job occupies its place.
type mode int

const (
	// borrowed work can be evicted.
	borrowed mode = iota
	// guaranteed work is charged to units of its workspace.
	guaranteed
	// stuck work can neither be evicted nor be charged to a unit: its zone returned, or the guarantee was reduced,
	// while it ran. The plan keeps clear of it.
	stuck
)

// entry is a job that the scheduler knows.
type entry struct {
	job   Job
	space *space
	class *class
	state state
	mode  mode
	// key orders the class; index is the position in its heap.
	key   time.Time
	index int
	// pieces is the place of a running or claiming job.
	pieces []piece
	units  []*unit
	// started is when the present run began; done is the run time saved by checkpoints before it.
	started time.Time
	done    time.Duration
	// expect is the estimated run time in total, bound a cautious one.
	expect time.Duration
	bound  time.Duration
	// failed lists the workers on which the job failed, reasons what was reported.
	failed  []string
	reasons []string
	// until is when an eviction has to be complete; limit is for repeating it.
	until time.Time
	limit time.Duration
	// moves counts evictions that made room for larger jobs.
	moves int
	probe bool
	// yields is set for a run on the reserved place, which ends when the reservation begins.
	yields bool
	told   bool
	ended  bool
}

// avoids reports whether the job failed on the worker before.
func (e *entry) avoids(n *node) bool {
	return slices.Contains(e.failed, n.ID)
}

// ends estimates when a running job ends. A job past its estimate is expected to take half as long again.
func (e *entry) ends(now time.Time) time.Time {
	if e.state == evicting {
		return later(e.until, now)
	}
	elapsed := now.Sub(e.started)
	left := e.bound - e.done - elapsed
	if left <= 0 {
		left = max(elapsed/2, time.Second)
	}
	return now.Add(left)
}

// remaining is the cautious estimate of the run time that a queued job still needs.
func (e *entry) remaining() time.Duration {
	return max(e.bound-e.done, e.bound/10)
}

func (e *entry) want() *want {
	return &want{
		members:      e.job.Members,
		accelerators: e.job.Accelerators,
		cores:        e.job.Cores,
		memory:       e.job.Memory,
		scope:        e.job.Scope,
		weight:       planWeight,
	}
}

// chargedWant is the same inside units of the workspace.
func (e *entry) chargedWant() *want {
	w := e.want()
	w.charged = &e.job
	return w
}

func (e *entry) assignments() []Assignment {
	members := make([]Assignment, 0, len(e.pieces))
	for _, p := range e.pieces {
		members = append(members, Assignment{
			Worker:       p.node.ID,
			Accelerators: p.mask,
		})
	}
	return members
}

// overlaps reports whether the entry uses accelerators of a set on a node.
func (e *entry) overlaps(n *node, mask uint64) bool {
	for _, p := range e.pieces {
		if p.node == n && p.mask&mask != 0 {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
