package placement

import (
	"math/bits"
	"time"
)

// maxAccelerators is the number of bits in an accelerator mask.
const maxAccelerators = 64

// node is a worker and the allocation state of its accelerators, cores and memory. Sets of accelerators are bitmasks.
type node struct {
	Worker
	// index is the position in cell.nodes.
	index int
	rack  *topologyDomain
	zone  *topologyDomain
	all   uint64
	free  uint64
	// plan is the set of accelerators in guaranteed slots, pinned the subset in slots with jobs, and charged the
	// accelerators that these jobs are charged for.
	plan    uint64
	pinned  uint64
	charged uint64
	// claimed, claimedCores and claimedMemory are held for jobs that wait for evictions.
	claimed       uint64
	claimedCores  int
	claimedMemory int64
	// immovable is the set of accelerators used by jobs that can neither be evicted nor charged to a slot.
	immovable   uint64
	freeCores   int
	freeMemory  int64
	trackedJobs []*trackedJob
	health      health
	// acceptsFrom is the time from which the worker accepts jobs again after its zone returned to service.
	acceptsFrom      time.Time
	zoneOutOfService bool
	// rampPending is set when the zone has returned to service and Decide has not yet set acceptsFrom.
	rampPending bool
	removed     bool
}

// inService reports whether guaranteed slots may be placed on the worker.
func (n *node) inService() bool {
	return !n.removed && !n.Leaving && !n.zoneOutOfService && !n.health.quarantined
}

// accepts reports whether jobs may be placed on the worker now.
func (n *node) accepts(now time.Time) bool {
	return n.inService() && !n.rampPending && !now.Before(n.acceptsFrom)
}

// charge returns how many accelerators of a slot a member is charged for: its own, or more if its cores or memory
// exceed their proportional share of the worker.
func (n *node) charge(j Job) int {
	accelerators := j.Accelerators
	if j.Cores > 0 && n.Cores > 0 {
		accelerators = max(accelerators, (j.Cores*n.Accelerators+n.Cores-1)/n.Cores)
	}
	if j.Memory > 0 && n.Memory > 0 {
		accelerators = max(accelerators, int((j.Memory*int64(n.Accelerators)+n.Memory-1)/n.Memory))
	}
	return max(accelerators, 1)
}

func (n *node) idle() bool {
	return len(n.trackedJobs) == 0
}

// nodeCapacity is the capacity of one node that a search may allocate.
type nodeCapacity struct {
	// schedulable is false for workers that accept no jobs.
	schedulable bool
	mask        uint64
	cores       int
	memory      int64
	// penalized is the set of accelerators to be used last.
	penalized uint64
}

// memberCount returns how many members of the requested size fit, at most limit.
func (capacity *nodeCapacity) memberCount(req *request, length, limit int) int {
	if req.cores > 0 {
		limit = min(limit, capacity.cores/req.cores)
	}
	if req.memory > 0 {
		limit = min(limit, int(capacity.memory/req.memory))
	}
	if limit <= 0 || !capacity.schedulable {
		return 0
	}
	if length == 0 {
		return limit
	}
	if bits.OnesCount64(capacity.mask) < length {
		return 0
	}
	return countRuns(capacity.mask, length, limit)
}

// topologyDomain is a rack, a zone or the entire cell: nodes[start:end] of the cell.
type topologyDomain struct {
	name  string
	start int
	end   int
	// busyNodes counts the nodes with jobs.
	busyNodes int
}
