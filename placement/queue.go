package placement

import (
	"container/heap"
	"slices"
	"time"
)

// shapeKey is what decides whether a job can be placed, apart from the workers on which it failed before.
type shapeKey struct {
	members        int
	accelerators   int
	cores          int
	memory         int64
	scope          Scope
	kind           string
	urgent         bool
	idempotent     bool
	checkpointable bool
	// alone is the id of a job that avoids workers and is therefore tried on its own.
	alone string
}

func (e *entry) shapeKey() shapeKey {
	key := shapeKey{
		members:        e.job.Members,
		accelerators:   e.job.Accelerators,
		cores:          e.job.Cores,
		memory:         e.job.Memory,
		scope:          e.job.Scope,
		kind:           e.job.Kind,
		urgent:         e.job.Urgent,
		idempotent:     e.job.Idempotent,
		checkpointable: e.job.Checkpointable,
	}
	if len(e.failed) > 0 {
		key.alone = e.job.ID
	}
	return key
}

// class holds the queued jobs of one workspace that are equal for placement, ordered by key. When its first job does
// not fit, none is tried until something was freed.
type class struct {
	shape shapeKey
	space *space
	jobs  entryHeap
	// refused is the version of the cell at which the first job did not fit.
	refused uint64
	reasons []string
	// explained is the version for which reasons were made.
	explained uint64
}

// head returns the first job.
func (c *class) head() *entry {
	return c.jobs[0]
}

// space is the state of one workspace.
type space struct {
	Workspace
	classes map[shapeKey]*class
	// order lists the classes with jobs by the time they were made, for determinism.
	order []*class
	units []*unit
	// usage counts accelerators of running jobs and claims.
	usage int
	// refusals are what did not fit at the version in refusedAt.
	refusals  map[shapeKey][]refusal
	refusedAt uint64
	// ready holds the classes that may fit, while Decide serves the queue.
	ready classHeap
	// listed is false for a workspace that has jobs but is not in the policy.
	listed bool
}

func newSpace(w Workspace) *space {
	return &space{
		Workspace: w,
		classes:   map[shapeKey]*class{},
		refusals:  map[shapeKey][]refusal{},
	}
}

// refusal is the rest of a shape that did not fit, with the run time for which it was tried as backfill.
type refusal struct {
	cores     int
	memory    int64
	remaining time.Duration
}

// refusalKey is the part of a shape in which two jobs have to be equal to be compared.
func (c *class) refusalKey() shapeKey {
	key := c.shape
	key.kind, key.alone = "", ""
	key.cores, key.memory = 0, 0
	return key
}

// hopeless reports whether a job that is no easier to place was refused at this version: same shape, no more cores and
// memory, no longer run time.
func (s *space) hopeless(e *entry, version uint64) bool {
	if s.refusedAt != version {
		return false
	}
	return slices.ContainsFunc(s.refusals[e.class.refusalKey()], func(r refusal) bool {
		return r.cores <= e.job.Cores && r.memory <= e.job.Memory && r.remaining <= e.remaining()
	})
}

// refuse records that an entry did not fit.
func (s *space) refuse(e *entry, version uint64) {
	e.class.refused = version
	if s.refusedAt != version {
		s.refusedAt = version
		clear(s.refusals)
	}
	if e.class.shape.alone != "" {
		return
	}
	key := e.class.refusalKey()
	s.refusals[key] = append(s.refusals[key], refusal{
		cores:     e.job.Cores,
		memory:    e.job.Memory,
		remaining: e.remaining(),
	})
}

// push queues an entry.
func (s *space) push(e *entry) {
	key := e.shapeKey()
	c, ok := s.classes[key]
	if !ok {
		c = &class{
			shape: key,
			space: s,
		}
		s.classes[key] = c
		s.order = append(s.order, c)
	}
	e.state = queued
	e.class = c
	heap.Push(&c.jobs, e)
}

// remove takes an entry out of the queue. It costs the logarithm of the class, whatever the queue's length.
func (s *space) remove(e *entry) {
	c := e.class
	heap.Remove(&c.jobs, e.index)
	e.class = nil
	if len(c.jobs) > 0 {
		return
	}
	delete(s.classes, c.shape)
	if at := slices.Index(s.order, c); at >= 0 {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// prepare lists the classes that may fit at this version, for next.
func (s *space) prepare(version uint64) {
	s.ready = s.ready[:0]
	for _, c := range s.order {
		if c.refused != version {
			s.ready = append(s.ready, c)
		}
	}
	heap.Init(&s.ready)
}

// advance takes the first ready class out if it was refused or is empty, and otherwise moves it to its new position.
func (s *space) advance(version uint64) {
	c := s.ready[0]
	if c.refused == version || len(c.jobs) == 0 {
		heap.Pop(&s.ready)
		return
	}
	heap.Fix(&s.ready, 0)
}

// rank is the part of its share that the workspace would use with one more job, less a bonus for waiting. The bonus is
// at most bonusLimit, so that a workspace that floods the queue does not outrank the others by age alone.
func (s *space) rank(e *entry, fair float64, wait, age time.Duration) float64 {
	bonus := min(float64(wait)/float64(age), 1) * bonusLimit
	return float64(s.usage+e.job.size())/fair - bonus
}

// bonusLimit is two shares: a workspace at twice its share still gets its oldest jobs in after Config.Age.
const bonusLimit = 2

// before orders entries by key and then by id.
func before(a, b *entry) bool {
	if order := a.key.Compare(b.key); order != 0 {
		return order < 0
	}
	return a.job.ID < b.job.ID
}

// classHeap orders classes by their first jobs. A class that has just been emptied counts as first, so that advance
// finds it.
type classHeap []*class

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(i, k int) bool {
	if len(h[i].jobs) == 0 || len(h[k].jobs) == 0 {
		return len(h[i].jobs) < len(h[k].jobs)
	}
	return before(h[i].head(), h[k].head())
}
func (h classHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *classHeap) Push(x any) { *h = append(*h, x.(*class)) }

// Pop implements heap.Interface.
func (h *classHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// entryHeap implements heap.Interface.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, k int) bool { return before(h[i], h[k]) }

func (h entryHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index = i
	h[k].index = k
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
