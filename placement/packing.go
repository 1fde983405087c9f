package placement

import "math/bits"

// packingSteps bounds the exhaustive search to about a millisecond. It is complete for cells of a few workers and finds
// most remaining packings in larger ones, where the greedy packing rarely fails.
const packingSteps = 20000

// packing is an exhaustive search for places of all units at the same time.
type packing struct {
	cell  *cell
	masks []uint64
	units []*unit
	cells [][]piece
	steps int
}

func newPacking(c *cell, rooms []room, units []*unit) *packing {
	masks := make([]uint64, len(rooms))
	for i := range rooms {
		masks[i] = rooms[i].mask
	}
	return &packing{
		cell:  c,
		masks: masks,
		units: units,
		cells: make([][]piece, len(units)),
		steps: packingSteps,
	}
}

// unit places the units from i on.
func (s *packing) unit(i int) bool {
	if i == len(s.units) {
		return true
	}
	if s.units[i].shape.Scope == ScopeWorker {
		for k := range s.masks {
			if s.member(i, 0, k, k+1, 0) {
				return true
			}
		}
		return false
	}
	for _, g := range s.cell.groups(s.units[i].shape.Scope) {
		if s.member(i, 0, g.first, g.last, 0) {
			return true
		}
	}
	return false
}

// member places member k of unit i in nodes[first:last], at bit from or higher of the first one. Members of a unit are
// equal, so only ascending places are tried.
func (s *packing) member(i, k, first, last, from int) bool {
	shape := s.units[i].shape
	if k == shape.Members {
		return s.unit(i + 1)
	}
	for n := first; n < last; n++ {
		open := starts(s.masks[n], shape.Accelerators)
		if n == first {
			open &^= span(from)
		}
		for ; open != 0; open &= open - 1 {
			s.steps--
			if s.steps < 0 {
				return false
			}
			at := bits.TrailingZeros64(open)
			run := span(shape.Accelerators) << at
			s.masks[n] &^= run
			s.cells[i] = append(s.cells[i][:k], piece{
				node: s.cell.nodes[n],
				mask: run,
			})
			if s.member(i, k+1, n, last, at+shape.Accelerators) {
				return true
			}
			s.masks[n] |= run
		}
	}
	return false
}
