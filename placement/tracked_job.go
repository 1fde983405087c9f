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
type occupancy int

const (
	// borrowed work can be evicted.
	borrowed occupancy = iota
	// guaranteed work is charged to units of its workspace.
	guaranteed
	// stuck work can neither be evicted nor be charged to a unit: its zone returned, or the guarantee was reduced,
	// while it ran. The plan keeps clear of it.
	immovable
)

// entry is a job that the scheduler knows.
type trackedJob struct {
	spec      Job
	workspace *workspace
	jobClass  *jobClass
	state     state
	occupancy occupancy
	// key orders the class; index is the position in its heap.
	queueTime time.Time
	heapIndex int
	// pieces is the place of a running or claiming job.
	allocations []allocation
	slots       []*guaranteedSlot
	// started is when the present run began; done is the run time saved by checkpoints before it.
	started      time.Time
	savedRunTime time.Duration
	// expect is the estimated run time in total, bound a cautious one.
	expectedRunTime time.Duration
	runTimeBound    time.Duration
	// failed lists the workers on which the job failed, reasons what was reported.
	failedWorkers []string
	reasons       []string
	// until is when an eviction has to be complete; limit is for repeating it.
	evictionDeadline time.Time
	limit            time.Duration
	// moves counts evictions that made room for larger jobs.
	moves int
	probe bool
	// yields is set for a run on the reserved place, which ends when the reservation begins.
	yields       bool
	waitReported bool
	ended        bool
}

// avoids reports whether the job failed on the worker before.
func (job *trackedJob) failedOn(n *node) bool {
	return slices.Contains(job.failedWorkers, n.ID)
}

// ends estimates when a running job ends. A job past its estimate is expected to take half as long again.
func (job *trackedJob) ends(now time.Time) time.Time {
	if job.state == evicting {
		return laterOf(job.evictionDeadline, now)
	}
	elapsed := now.Sub(job.started)
	remaining := job.runTimeBound - job.savedRunTime - elapsed
	if remaining <= 0 {
		remaining = max(elapsed/2, time.Second)
	}
	return now.Add(remaining)
}

// remaining is the cautious estimate of the run time that a queued job still needs.
func (job *trackedJob) remainingRunTime() time.Duration {
	return max(job.runTimeBound-job.savedRunTime, job.runTimeBound/10)
}

func (job *trackedJob) request() *request {
	return &request{
		members:       job.spec.Members,
		accelerators:  job.spec.Accelerators,
		cores:         job.spec.Cores,
		memory:        job.spec.Memory,
		scope:         job.spec.Scope,
		penaltyWeight: plannedPenalty,
	}
}

// chargedWant is the same inside units of the workspace.
func (job *trackedJob) guaranteedRequest() *request {
	req := job.request()
	req.chargedJob = &job.spec
	return req
}

func (job *trackedJob) assignments() []Assignment {
	members := make([]Assignment, 0, len(job.allocations))
	for _, alloc := range job.allocations {
		members = append(members, Assignment{
			Worker:       alloc.node.ID,
			Accelerators: alloc.mask,
		})
	}
	return members
}

// overlaps reports whether the entry uses accelerators of a set on a node.
func (job *trackedJob) overlaps(n *node, mask uint64) bool {
	for _, alloc := range job.allocations {
		if alloc.node == n && alloc.mask&mask != 0 {
			return true
		}
	}
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
