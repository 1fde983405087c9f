package placement

import (
	"math/bits"
	"slices"
)

// moveToCover moves a floating slot so that it contains the allocations of a job, and moves other floating slots out
// of the way. It changes nothing and returns false if any of them cannot be placed.
func (p *plan) moveToCover(slot *guaranteedSlot, allocations []allocation) bool {
	saved := p.saveFloating(p.slots)
	p.unplace(slot)
	target, ok := p.findCovering(slot, allocations)
	if !ok {
		p.restore(saved)
		return false
	}
	var displaced []*guaranteedSlot
	for _, other := range p.slots {
		if other.jobs > 0 || other == slot {
			continue
		}
		if slices.ContainsFunc(target, func(alloc allocation) bool { return other.contains(alloc.node, alloc.mask) }) {
			p.unplace(other)
			displaced = append(displaced, other)
		}
	}
	p.place(slot, target)
	for _, other := range displaced {
		if !p.placeCheapest(other) {
			p.restore(saved)
			return false
		}
	}
	return true
}

// findCovering finds a place for a slot that contains the allocations and avoids pinned slots.
func (p *plan) findCovering(slot *guaranteedSlot, allocations []allocation) ([]allocation, bool) {
	shape := slot.shape
	capacities := p.slotCapacities(pinned)
	for i := range capacities {
		capacities[i].penalized = p.cell.nodes[i].plan
	}
	var target []allocation
	for _, n := range p.cell.nodes {
		uncovered := chargedOn(allocations, n)
		for uncovered != 0 {
			run, ok := coveringRun(&capacities[n.index], allocations, n, uncovered, shape.Accelerators)
			if !ok {
				return nil, false
			}
			capacities[n.index].mask &^= run
			uncovered &^= run
			target = append(target, allocation{
				node: n,
				mask: run,
			})
		}
	}
	remaining := shape.Members - len(target)
	if remaining < 0 || !withinScope(target, shape.Scope) {
		return nil, false
	}
	if remaining == 0 {
		return target, true
	}
	req := slot.request()
	req.members = remaining
	req.penaltyWeight = plannedPenalty
	p.cell.restrictToDomain(capacities, target[0].node, shape.Scope)
	others, ok := p.finder.find(capacities, req)
	if !ok {
		return nil, false
	}
	return append(target, others...), true
}

// chargedOn returns the accelerators on one node that the allocations are charged for.
func chargedOn(allocations []allocation, n *node) uint64 {
	var mask uint64
	for _, alloc := range allocations {
		if alloc.node == n {
			mask |= alloc.charge
		}
	}
	return mask
}

// coveringRun returns the run that covers the first uncovered accelerator and splits no allocation. It prefers the run
// that covers the most accelerators, then the one with the lowest cost.
func coveringRun(
	capacity *nodeCapacity, allocations []allocation, n *node, uncovered uint64, length int,
) (uint64, bool) {
	var best uint64
	mostCovered, lowestCost := 0, 0
	firstUncovered := uncovered & -uncovered
	for positions := runStarts(capacity.mask, length); positions != 0; positions &= positions - 1 {
		run := lowMask(length) << bits.TrailingZeros64(positions)
		if run&firstUncovered == 0 || splitsAllocation(allocations, n, run&uncovered) {
			continue
		}
		covered := bits.OnesCount64(run & uncovered)
		cost := contiguityScore(capacity.mask) - contiguityScore(capacity.mask&^run) +
			plannedPenalty*bits.OnesCount64(run&capacity.penalized)
		if covered > mostCovered || covered == mostCovered && cost < lowestCost {
			best, mostCovered, lowestCost = run, covered, cost
		}
	}
	return best, best != 0
}

// splitsAllocation reports whether a run contains some but not all of the accelerators of an allocation on a node.
func splitsAllocation(allocations []allocation, n *node, run uint64) bool {
	for _, alloc := range allocations {
		if alloc.node == n && alloc.charge&run != 0 && alloc.charge&^run != 0 {
			return true
		}
	}
	return false
}

// withinScope reports whether all allocations lie in one topology domain of the scope.
func withinScope(allocations []allocation, scope Scope) bool {
	for _, alloc := range allocations {
		if !sameDomain(allocations[0].node, alloc.node, scope) {
			return false
		}
	}
	return true
}

func sameDomain(a, b *node, scope Scope) bool {
	switch scope {
	case ScopeWorker:
		return a == b
	case ScopeRack:
		return a.rack == b.rack
	case ScopeZone:
		return a.zone == b.zone
	case ScopeAny:
	}
	return true
}

// restrictToDomain clears the capacities of all nodes outside the topology domain of a node.
func (c *cell) restrictToDomain(capacities []nodeCapacity, n *node, scope Scope) {
	for i := range capacities {
		if !sameDomain(n, c.nodes[i], scope) {
			capacities[i] = nodeCapacity{}
		}
	}
}
