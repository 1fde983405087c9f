package placement

import (
	"slices"
)

// Penalties per penalized accelerator, in units of contiguityScore.
const (
	// plannedPenalty keeps borrowed jobs off guaranteed slots when other accelerators cost about the same.
	plannedPenalty = 1
	// evictionPenalty makes an accelerator in use cost as much as two whole workers with eight accelerators each.
	evictionPenalty = 64
)

// request is a shape to find a place for.
type request struct {
	members      int
	accelerators int
	cores        int
	memory       int64
	scope        Scope
	// chargedJob is set for a search inside guaranteed slots. The members then take as many accelerators as they are
	// charged for.
	chargedJob    *Job
	penaltyWeight int
}

// allocation is the accelerators of one member on a node. charge is the set of accelerators of guaranteed slots that
// the member is charged for; it is empty for borrowed jobs.
type allocation struct {
	node   *node
	mask   uint64
	charge uint64
}

// finder searches for places. Its buffers are reused by every search.
type finder struct {
	cell    *cell
	ranking []rankedNode
	current []allocation
	best    []allocation
}

// rankedNode is a node of a topology domain with the number of members that fit and its rank. Nodes with a low rank
// are used first.
type rankedNode struct {
	node        *node
	memberCount int
	rank        int
}

// find returns the allocations with the lowest cost for a request. The capacities are indexed like cell.nodes. The
// result is valid until the next search.
func (f *finder) find(capacities []nodeCapacity, req *request) ([]allocation, bool) {
	if req.members == 1 {
		return f.findSingle(capacities, req)
	}
	if req.scope == ScopeWorker {
		return f.findInWorker(capacities, req)
	}
	found, lowestCost := false, 0
	for _, domain := range f.cell.domains(req.scope) {
		cost, ok := f.findInDomain(domain, capacities, req)
		if ok && (!found || cost < lowestCost) {
			found, lowestCost = true, cost
			f.best, f.current = f.current, f.best
		}
	}
	return f.best, found
}

// findInDomain places all members in one topology domain, on the most fragmented workers first, and returns the cost.
func (f *finder) findInDomain(domain *topologyDomain, capacities []nodeCapacity, req *request) (int, bool) {
	f.ranking = f.ranking[:0]
	total := 0
	for _, n := range f.cell.nodes[domain.start:domain.end] {
		capacity := &capacities[n.index]
		memberCount := capacity.memberCount(req, req.runLength(n), req.members)
		if memberCount == 0 {
			continue
		}
		total += memberCount
		rank := contiguityScore(capacity.mask)*4 + req.penaltyWeight*contiguityScore(capacity.mask&capacity.penalized)
		if n.rack.busyNodes == 0 {
			rank += 4 * maxAccelerators
		}
		f.ranking = append(f.ranking, rankedNode{
			node:        n,
			memberCount: memberCount,
			rank:        rank,
		})
	}
	if total < req.members {
		return 0, false
	}
	slices.SortStableFunc(f.ranking, func(a, b rankedNode) int {
		return a.rank - b.rank
	})
	f.current = f.current[:0]
	remaining, cost := req.members, 0
	for _, candidate := range f.ranking {
		take := min(candidate.memberCount, remaining)
		cost += f.take(candidate.node, capacities, req, take)
		remaining -= take
		if remaining == 0 {
			return cost, true
		}
	}
	return 0, false
}

// findSingle places one member, for which the scope makes no difference.
func (f *finder) findSingle(capacities []nodeCapacity, req *request) ([]allocation, bool) {
	var bestNode *node
	var mask uint64
	lowestCost := 0
	var previous nodeCapacity
	var previousRun uint64
	var previousCost int
	for _, n := range f.cell.nodes {
		capacity := &capacities[n.index]
		runLength := req.runLength(n)
		if capacity.memberCount(req, runLength, 1) == 0 {
			continue
		}
		if previousRun == 0 || capacity.mask != previous.mask || capacity.penalized != previous.penalized ||
			req.chargedJob != nil {
			previous = *capacity
			previousRun, previousCost = cheapestRun(capacity.mask, runLength, capacity.penalized, req.penaltyWeight)
		}
		cost := previousCost + n.fragmentationCost()
		if bestNode == nil || cost < lowestCost {
			bestNode, mask, lowestCost = n, previousRun, cost
		}
	}
	if bestNode == nil {
		return nil, false
	}
	f.best = append(f.best[:0], req.allocation(bestNode, mask))
	return f.best, true
}

// take appends allocations for count members on a node to current and returns their cost.
func (f *finder) take(n *node, capacities []nodeCapacity, req *request, count int) int {
	capacity := capacities[n.index]
	total := n.fragmentationCost()
	runLength := req.runLength(n)
	for range count {
		run, cost := cheapestRun(capacity.mask, runLength, capacity.penalized, req.penaltyWeight)
		total += cost
		capacity.mask &^= run
		f.current = append(f.current, req.allocation(n, run))
	}
	return total
}

// findInWorker places several members on one worker.
func (f *finder) findInWorker(capacities []nodeCapacity, req *request) ([]allocation, bool) {
	found, lowestCost := false, 0
	for _, n := range f.cell.nodes {
		if capacities[n.index].memberCount(req, req.runLength(n), req.members) < req.members {
			continue
		}
		f.current = f.current[:0]
		cost := f.take(n, capacities, req, req.members)
		if !found || cost < lowestCost {
			found, lowestCost = true, cost
			f.best, f.current = f.current, f.best
		}
	}
	return f.best, found
}

// fragmentationCost returns the cost of using an idle worker: the accelerators of one worker for every idle worker of
// its rack, because together they form the next larger shape, and once more if its zone is idle.
func (n *node) fragmentationCost() int {
	if !n.idle() {
		return 0
	}
	cost := n.Accelerators * (n.rack.end - n.rack.start - n.rack.busyNodes)
	if n.zone.busyNodes == 0 {
		cost += n.Accelerators
	}
	return cost
}

// runLength returns the number of adjacent accelerators that a member takes on a node.
func (req *request) runLength(n *node) int {
	if req.chargedJob != nil {
		return n.charge(*req.chargedJob)
	}
	return req.accelerators
}

func (req *request) allocation(n *node, run uint64) allocation {
	if req.chargedJob == nil {
		return allocation{
			node: n,
			mask: run,
		}
	}
	return allocation{
		node:   n,
		mask:   lowestBits(run, req.accelerators),
		charge: run,
	}
}
