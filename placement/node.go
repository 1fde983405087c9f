package placement

import (
	"math/bits"
	"time"
)

// maxAccelerators is the width of an accelerator set.
const maxAccelerators = 64

// node is a worker with what is used, planned and claimed on it.
type node struct {
	Worker
	// index is the position in cell.nodes.
	index int
	rack  *topologyDomain
	zone  *topologyDomain
	all   uint64
	free  uint64
	// plan holds the places of units, pinned the part that belongs to units with jobs, used what these jobs are charged.
	plan    uint64
	pinned  uint64
	charged uint64
	// claimed is kept for jobs that wait for evictions or hold the reservation.
	claimed       uint64
	claimedCores  int
	claimedMemory int64
	// stuck is used by work that cannot be evicted and lies in no unit.
	immovable   uint64
	freeCores   int
	freeMemory  int64
	trackedJobs []*trackedJob
	health      health
	// ramp is when the worker takes work again after its zone returned.
	acceptsFrom      time.Time
	zoneOutOfService bool
	// returning is set until Decide fixes the ramp.
	rampPending bool
	removed     bool
}

// inService reports whether the plan may use the worker.
func (n *node) inService() bool {
	return !n.removed && !n.Leaving && !n.zoneOutOfService && !n.health.quarantined
}

// accepts reports whether work may be placed on the worker now.
func (n *node) accepts(now time.Time) bool {
	return n.inService() && !n.rampPending && !now.Before(n.acceptsFrom)
}

// charge returns how many accelerators of a unit a member uses up: its own, or more if its cores or memory exceed
// their proportional part of the worker.
func (n *node) charge(j Job) int {
	need := j.Accelerators
	if j.Cores > 0 && n.Cores > 0 {
		need = max(need, (j.Cores*n.Accelerators+n.Cores-1)/n.Cores)
	}
	if j.Memory > 0 && n.Memory > 0 {
		need = max(need, int((j.Memory*int64(n.Accelerators)+n.Memory-1)/n.Memory))
	}
	return max(need, 1)
}

func (n *node) idle() bool {
	return len(n.trackedJobs) == 0
}

// room is what one node offers to one search.
type nodeCapacity struct {
	// open is false for workers that take nothing.
	schedulable bool
	mask        uint64
	cores       int
	memory      int64
	// dear marks accelerators that should be used last.
	penalized uint64
}

// fit returns how many members of the wanted shape the room takes, at most limit.
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

// group is a rack or a zone: nodes[first:last] of the cell.
type topologyDomain struct {
	name  string
	start int
	end   int
	// busy counts nodes with work.
	busyNodes int
}
