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
	rack  *group
	zone  *group
	all   uint64
	free  uint64
	// plan holds the places of units, pinned the part that belongs to units with jobs, used what these jobs are charged.
	plan   uint64
	pinned uint64
	used   uint64
	// claimed is kept for jobs that wait for evictions or hold the reservation.
	claimed       uint64
	claimedCores  int
	claimedMemory int64
	// stuck is used by work that cannot be evicted and lies in no unit.
	stuck      uint64
	freeCores  int
	freeMemory int64
	entries    []*entry
	health     health
	// ramp is when the worker takes work again after its zone returned.
	ramp    time.Time
	zoneOut bool
	// returning is set until Decide fixes the ramp.
	returning bool
	gone      bool
}

// inService reports whether the plan may use the worker.
func (n *node) inService() bool {
	return !n.gone && !n.Leaving && !n.zoneOut && !n.health.quarantined
}

// accepts reports whether work may be placed on the worker now.
func (n *node) accepts(now time.Time) bool {
	return n.inService() && !n.returning && !now.Before(n.ramp)
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
	return len(n.entries) == 0
}

// room is what one node offers to one search.
type room struct {
	// open is false for workers that take nothing.
	open   bool
	mask   uint64
	cores  int
	memory int64
	// dear marks accelerators that should be used last.
	dear uint64
}

// fit returns how many members of the wanted shape the room takes, at most limit.
func (r *room) fit(w *want, length, limit int) int {
	if w.cores > 0 {
		limit = min(limit, r.cores/w.cores)
	}
	if w.memory > 0 {
		limit = min(limit, int(r.memory/w.memory))
	}
	if limit <= 0 || !r.open {
		return 0
	}
	if length == 0 {
		return limit
	}
	if bits.OnesCount64(r.mask) < length {
		return 0
	}
	return runs(r.mask, length, limit)
}

// group is a rack or a zone: nodes[first:last] of the cell.
type group struct {
	name  string
	first int
	last  int
	// busy counts nodes with work.
	busy int
}
