package placement

import "math/bits"

// maxSearchSteps bounds the exhaustive search to about a millisecond. The search is complete for cells of a few
// workers. In larger cells, where greedy packing rarely fails, it finds most of the remaining packings.
const maxSearchSteps = 20000

// exhaustiveSearch is a backtracking search for places for all slots at the same time.
type exhaustiveSearch struct {
	cell        *cell
	freeMasks   []uint64
	slots       []*guaranteedSlot
	allocations [][]allocation
	stepsLeft   int
}

func newExhaustiveSearch(c *cell, capacities []nodeCapacity, slots []*guaranteedSlot) *exhaustiveSearch {
	freeMasks := make([]uint64, len(capacities))
	for i := range capacities {
		freeMasks[i] = capacities[i].mask
	}
	return &exhaustiveSearch{
		cell:        c,
		freeMasks:   freeMasks,
		slots:       slots,
		allocations: make([][]allocation, len(slots)),
		stepsLeft:   maxSearchSteps,
	}
}

// guaranteedSlot places slot i and all slots after it.
func (s *exhaustiveSearch) guaranteedSlot(i int) bool {
	if i == len(s.slots) {
		return true
	}
	if s.slots[i].shape.Scope == ScopeWorker {
		for k := range s.freeMasks {
			if s.placeMember(i, 0, k, k+1, 0) {
				return true
			}
		}
		return false
	}
	for _, domain := range s.cell.domains(s.slots[i].shape.Scope) {
		if s.placeMember(i, 0, domain.start, domain.end, 0) {
			return true
		}
	}
	return false
}

// placeMember places member k of slot i and everything after it. It searches nodes[start:end], starting at firstBit of
// the first node. The members of a slot are equal, so only ascending positions are tried.
func (s *exhaustiveSearch) placeMember(i, k, start, end, firstBit int) bool {
	shape := s.slots[i].shape
	if k == shape.Members {
		return s.guaranteedSlot(i + 1)
	}
	for n := start; n < end; n++ {
		positions := runStarts(s.freeMasks[n], shape.Accelerators)
		if n == start {
			positions &^= lowMask(firstBit)
		}
		for ; positions != 0; positions &= positions - 1 {
			s.stepsLeft--
			if s.stepsLeft < 0 {
				return false
			}
			bit := bits.TrailingZeros64(positions)
			run := lowMask(shape.Accelerators) << bit
			s.freeMasks[n] &^= run
			s.allocations[i] = append(s.allocations[i][:k], allocation{
				node: s.cell.nodes[n],
				mask: run,
			})
			if s.placeMember(i, k+1, n, end, bit+shape.Accelerators) {
				return true
			}
			s.freeMasks[n] |= run
		}
	}
	return false
}
