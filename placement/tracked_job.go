package placement

import (
	"slices"
	"time"
)

// state is the state of a job between Submit and its end.
type state int

const (
	// queued jobs are in a jobClass of their workspace.
	queued state = iota
	// claiming jobs wait for the evictions that free their allocations.
	claiming
	running
	// evicting jobs occupy their allocations until Ended is called.
	evicting
)

// occupancy is the right by which a running job occupies its allocations.
type occupancy int

const (
	// borrowed jobs can be evicted.
	borrowed occupancy = iota
	// guaranteed jobs are charged to slots of their workspace.
	guaranteed
	// immovable jobs can neither be evicted nor charged to a slot, because their zone went out of service and returned or
	// their guarantee was reduced while they were running. The plan avoids their accelerators.
	immovable
)

// trackedJob is a submitted or running job with its scheduling state.
type trackedJob struct {
	spec      Job
	workspace *workspace
	jobClass  *jobClass
	state     state
	occupancy occupancy
	// queueTime orders the jobs of a class; heapIndex is the position in the heap of the class.
	queueTime time.Time
	heapIndex int
	// allocations are set while the job is running, evicting or claiming.
	allocations []allocation
	slots       []*guaranteedSlot
	// started is when the current run began; savedRunTime is the run time of earlier runs that checkpoints preserved.
	started      time.Time
	savedRunTime time.Duration
	// expectedRunTime is the estimate of the total run time, runTimeBound a conservative one.
	expectedRunTime time.Duration
	runTimeBound    time.Duration
	// failedWorkers lists the workers on which the job failed, reasons the reported causes.
	failedWorkers []string
	reasons       []string
	// evictionDeadline is when an eviction has to be complete or is repeated. limit is the time allowed for it and the
	// interval between repetitions.
	evictionDeadline time.Time
	limit            time.Duration
	// moves counts the evictions that made room for larger jobs.
	moves int
	probe bool
	// yields is set for a run on the reserved accelerators, which is evicted when the reserved job can start.
	yields       bool
	waitReported bool
	ended        bool
}

// failedOn reports whether the job failed on the worker before.
func (job *trackedJob) failedOn(n *node) bool {
	return slices.Contains(job.failedWorkers, n.ID)
}

// ends estimates when a running job ends. A job that has exceeded its estimate is expected to run for another half of
// the time elapsed.
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

// remainingRunTime returns the conservative estimate of the run time that a queued job still needs.
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

// guaranteedRequest returns the request for a place inside guaranteed slots of the workspace.
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

// overlaps reports whether the job uses any of the accelerators in mask on a node.
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
