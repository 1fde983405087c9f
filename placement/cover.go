package placement

import (
	"math/bits"
	"slices"
)

// cover moves a floating unit so that it contains the pieces of a job, and moves the floating units in its way. It
// changes nothing and returns false if not all of them find a place.
func (p *plan) cover(u *unit, pieces []piece) bool {
	saved := p.save(p.units)
	p.lift(u)
	cells, ok := p.around(u, pieces)
	if !ok {
		p.restore(saved)
		return false
	}
	var displaced []*unit
	for _, other := range p.units {
		if other.jobs > 0 || other == u {
			continue
		}
		if slices.ContainsFunc(cells, func(c piece) bool { return other.contains(c.node, c.mask) }) {
			p.lift(other)
			displaced = append(displaced, other)
		}
	}
	p.put(u, cells)
	for _, other := range displaced {
		if !p.fit(other) {
			p.restore(saved)
			return false
		}
	}
	return true
}

// around finds a place for a unit that contains the pieces, clear of pinned units.
func (p *plan) around(u *unit, pieces []piece) ([]piece, bool) {
	shape := u.shape
	rooms := p.openRooms(pinned)
	for i := range rooms {
		rooms[i].dear = p.cell.nodes[i].plan
	}
	var cells []piece
	for _, n := range p.cell.nodes {
		rest := charges(pieces, n)
		for rest != 0 {
			run, ok := coveringRun(&rooms[n.index], pieces, n, rest, shape.Accelerators)
			if !ok {
				return nil, false
			}
			rooms[n.index].mask &^= run
			rest &^= run
			cells = append(cells, piece{
				node: n,
				mask: run,
			})
		}
	}
	left := shape.Members - len(cells)
	if left < 0 || !within(cells, shape.Scope) {
		return nil, false
	}
	if left == 0 {
		return cells, true
	}
	w := u.want()
	w.members = left
	w.weight = planWeight
	p.cell.restrict(rooms, cells[0].node, shape.Scope)
	others, ok := p.finder.find(rooms, w)
	if !ok {
		return nil, false
	}
	return append(cells, others...), true
}

// charges returns what the pieces use on one node.
func charges(pieces []piece, n *node) uint64 {
	var mask uint64
	for _, c := range pieces {
		if c.node == n {
			mask |= c.charge
		}
	}
	return mask
}

// coveringRun returns the run that contains whole pieces only, the first of rest among them, and as many as possible.
func coveringRun(r *room, pieces []piece, n *node, rest uint64, length int) (uint64, bool) {
	var best uint64
	most, least := 0, 0
	first := rest & -rest
	for at := starts(r.mask, length); at != 0; at &= at - 1 {
		run := span(length) << bits.TrailingZeros64(at)
		if run&first == 0 || cuts(pieces, n, run&rest) {
			continue
		}
		covered := bits.OnesCount64(run & rest)
		cost := worth(r.mask) - worth(r.mask&^run) + planWeight*bits.OnesCount64(run&r.dear)
		if covered > most || covered == most && cost < least {
			best, most, least = run, covered, cost
		}
	}
	return best, best != 0
}

// cuts reports whether a part of a node holds some but not all of a piece.
func cuts(pieces []piece, n *node, part uint64) bool {
	for _, c := range pieces {
		if c.node == n && c.charge&part != 0 && c.charge&^part != 0 {
			return true
		}
	}
	return false
}

// within reports whether all cells share one part of the topology.
func within(cells []piece, scope Scope) bool {
	for _, c := range cells {
		if !near(cells[0].node, c.node, scope) {
			return false
		}
	}
	return true
}

func near(a, b *node, scope Scope) bool {
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

// restrict empties the rooms that are not near a node.
func (c *cell) restrict(rooms []room, n *node, scope Scope) {
	for i := range rooms {
		if !near(n, c.nodes[i], scope) {
			rooms[i] = room{}
		}
	}
}
