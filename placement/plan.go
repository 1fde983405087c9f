package placement

import (
	"cmp"
	"slices"
	"time"
)

// unit is one guaranteed shape with its place in the plan.
type guaranteedSlot struct {
	workspace   *workspace
	shape       Shape
	allocations []allocation
	// jobs counts the running jobs that are charged to the unit; the place is fixed while there are any.
	jobs int
	// warm is the time until which the place stays clear of others' work after it was reclaimed by evictions.
	protectedUntil time.Time
}

func (slot *guaranteedSlot) placed() bool {
	return len(slot.allocations) > 0
}

// contains reports whether the unit covers accelerators of a node.
func (slot *guaranteedSlot) contains(n *node, mask uint64) bool {
	for _, alloc := range slot.allocations {
		if alloc.node == n && alloc.mask&mask != 0 {
			return true
		}
	}
	return false
}

// plan holds a place for every guaranteed shape at the same time. Places never overlap and never lie on workers that
// are out of service.
type plan struct {
	cell       *cell
	finder     *finder
	slots      []*guaranteedSlot
	capacities []nodeCapacity
	// stale is set when units lack a place and the cell has changed since the last attempt.
	stale bool
}

// missing returns the units without a place, which exist only when the workers in service cannot hold them.
func (p *plan) unplacedSlots() []*guaranteedSlot {
	var unplaced []*guaranteedSlot
	for _, slot := range p.slots {
		if !slot.placed() {
			unplaced = append(unplaced, slot)
		}
	}
	return unplaced
}

// set replaces the units; those that are dropped have been lifted. The order decides which ones get a place when there
// is not enough room.
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

// openRooms returns the accelerators that a unit may take: taken gives the part of a node that is excluded.
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

// fit gives a unit the cheapest place beside the rest of the plan.
func (p *plan) placeCheapest(slot *guaranteedSlot) bool {
	allocations, ok := p.finder.find(p.slotCapacities(planned), slot.request())
	if ok {
		p.place(slot, allocations)
	}
	return ok
}

// complete places all units that lack a place. It first keeps the others where they are, then packs all floating units
// anew, then searches with a bounded number of steps. If nothing holds them all, those that have a place keep it: a
// shape never loses its place to another one.
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

// pack places all floating units anew, the largest first.
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

// search tries all packings of the floating units within a bounded number of steps.
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

// savedUnit is a floating unit's place, for undoing a change.
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
