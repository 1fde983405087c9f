package placement

import (
	"cmp"
	"slices"
	"time"
)

// guaranteedSlot is one guaranteed shape and the accelerators that the plan has assigned to it. A slot without jobs is
// floating: the plan may move it. A slot with jobs is pinned.
type guaranteedSlot struct {
	workspace   *workspace
	shape       Shape
	allocations []allocation
	// jobs counts the running, evicting and claiming jobs that are charged to the slot; while it is positive, the slot is
	// pinned.
	jobs int
	// protectedUntil is the time until which other workspaces may not use the slot after its workspace reclaimed it by
	// evictions.
	protectedUntil time.Time
}

func (slot *guaranteedSlot) placed() bool {
	return len(slot.allocations) > 0
}

// contains reports whether the slot includes any of the accelerators of a node in mask.
func (slot *guaranteedSlot) contains(n *node, mask uint64) bool {
	for _, alloc := range slot.allocations {
		if alloc.node == n && alloc.mask&mask != 0 {
			return true
		}
	}
	return false
}

// plan assigns accelerators to all guaranteed shapes at the same time. Slots never overlap and never lie on workers
// that are out of service.
type plan struct {
	cell       *cell
	finder     *finder
	slots      []*guaranteedSlot
	capacities []nodeCapacity
	// stale is set when the slots or the cell have changed since the last attempt to place all slots.
	stale bool
}

// unplacedSlots returns the slots without a place. There are some only when the workers in service cannot hold them.
func (p *plan) unplacedSlots() []*guaranteedSlot {
	var unplaced []*guaranteedSlot
	for _, slot := range p.slots {
		if !slot.placed() {
			unplaced = append(unplaced, slot)
		}
	}
	return unplaced
}

// setSlots replaces the slots; the caller has unplaced those that are dropped. The slots are sorted with the largest
// first, which decides which of them are placed when there is not enough capacity.
func (p *plan) setSlots(slots []*guaranteedSlot) {
	slices.SortStableFunc(slots, func(a, b *guaranteedSlot) int {
		return cmp.Or(
			cmp.Compare(b.shape.Accelerators, a.shape.Accelerators),
			cmp.Compare(b.shape.Members, a.shape.Members),
			cmp.Compare(a.shape.Scope, b.shape.Scope),
		)
	})
	p.slots = slots
	p.stale = true
}

func (p *plan) place(slot *guaranteedSlot, allocations []allocation) {
	slot.allocations = append([]allocation(nil), allocations...)
	for _, alloc := range slot.allocations {
		alloc.node.plan |= alloc.mask
	}
}

func (p *plan) unplace(slot *guaranteedSlot) {
	for _, alloc := range slot.allocations {
		alloc.node.plan &^= alloc.mask
		alloc.node.pinned &^= alloc.mask
	}
	slot.allocations = nil
	slot.jobs = 0
}

func (p *plan) pin(slot *guaranteedSlot) {
	slot.jobs++
	for _, alloc := range slot.allocations {
		alloc.node.pinned |= alloc.mask
	}
}

func (p *plan) unpin(slot *guaranteedSlot) {
	slot.jobs--
	if slot.jobs > 0 {
		return
	}
	for _, alloc := range slot.allocations {
		alloc.node.pinned &^= alloc.mask
	}
}

// slotCapacities returns the accelerators that a slot may take on each node, without those returned by excluded.
func (p *plan) slotCapacities(excluded func(n *node) uint64) []nodeCapacity {
	p.capacities = p.capacities[:0]
	for _, n := range p.cell.nodes {
		capacity := nodeCapacity{}
		if n.inService() {
			capacity.schedulable = true
			capacity.mask = n.all &^ n.immovable &^ excluded(n)
			capacity.penalized = n.all &^ n.free
		}
		p.capacities = append(p.capacities, capacity)
	}
	return p.capacities
}

func planned(n *node) uint64 {
	return n.plan
}

func pinned(n *node) uint64 {
	return n.pinned
}

// placeCheapest places a slot at the lowest cost without overlapping the rest of the plan.
func (p *plan) placeCheapest(slot *guaranteedSlot) bool {
	allocations, ok := p.finder.find(p.slotCapacities(planned), slot.request())
	if ok {
		p.place(slot, allocations)
	}
	return ok
}

// placeMissing places all slots that lack a place. It first leaves the other slots where they are, then repacks all
// floating slots greedily, then searches all packings with a bounded number of steps. If none of these places all
// slots, it restores the previous places, so that no slot loses its place to another one.
func (p *plan) placeMissing() {
	if !p.stale {
		return
	}
	p.stale = false
	ok := true
	for _, slot := range p.slots {
		if !slot.placed() && !p.placeCheapest(slot) {
			ok = false
		}
	}
	if ok {
		return
	}
	saved := p.saveFloating(p.slots)
	if p.repackGreedily() {
		return
	}
	if !p.repackExhaustively() {
		p.restore(saved)
	}
}

// repackGreedily places all floating slots again in sort order, the largest first.
func (p *plan) repackGreedily() bool {
	for _, slot := range p.slots {
		if slot.jobs == 0 {
			p.unplace(slot)
		}
	}
	ok := true
	for _, slot := range p.slots {
		if slot.jobs == 0 && !p.placeCheapest(slot) {
			ok = false
		}
	}
	return ok
}

// repackExhaustively tries all packings of the floating slots within a bounded number of steps.
func (p *plan) repackExhaustively() bool {
	var floating []*guaranteedSlot
	for _, slot := range p.slots {
		if slot.jobs == 0 {
			p.unplace(slot)
			floating = append(floating, slot)
		}
	}
	search := newExhaustiveSearch(p.cell, p.slotCapacities(planned), floating)
	if !search.guaranteedSlot(0) {
		return false
	}
	for i, slot := range floating {
		p.place(slot, search.allocations[i])
	}
	return true
}

// savedSlot is the place of a floating slot, used to roll back a change of the plan.
type savedSlot struct {
	guaranteedSlot *guaranteedSlot
	allocations    []allocation
}

func (p *plan) saveFloating(slots []*guaranteedSlot) []savedSlot {
	saved := make([]savedSlot, 0, len(slots))
	for _, slot := range slots {
		if slot.jobs == 0 {
			saved = append(saved, savedSlot{
				guaranteedSlot: slot,
				allocations:    slot.allocations,
			})
		}
	}
	return saved
}

func (p *plan) restore(saved []savedSlot) {
	for _, s := range saved {
		p.unplace(s.guaranteedSlot)
	}
	for _, s := range saved {
		p.place(s.guaranteedSlot, s.allocations)
	}
}

func (slot *guaranteedSlot) request() *request {
	return &request{
		members:      slot.shape.Members,
		accelerators: slot.shape.Accelerators,
		scope:        slot.shape.Scope,
	}
}
