package placement

import (
	"slices"
)

// Weights of a placement's score, in units of worth.
const (
	// planWeight keeps borrowed work off guaranteed places when a place of about the same worth is free.
	planWeight = 1
	// evictWeight makes an accelerator in use as dear as two whole workers of eight.
	evictWeight = 64
)

// want is a shape to find room for.
type want struct {
	members      int
	accelerators int
	cores        int
	memory       int64
	scope        Scope
	// charged is set for a search inside units: members take their charge instead of cores and memory.
	charged *Job
	weight  int
}

// piece is the place of one member. charge is the part of units that it uses up, zero for borrowed work.
type piece struct {
	node   *node
	mask   uint64
	charge uint64
}

// finder searches for places. Its buffers are reused by every search.
type finder struct {
	cell  *cell
	order []ranked
	trial []piece
	best  []piece
}

// ranked is a node of a group with the number of members that fit and its rank within the group.
type ranked struct {
	node *node
	fit  int
	rank int
}

// find returns the cheapest place for the shape in the rooms, which are indexed like the cell's nodes. The result is
// valid until the next search.
func (f *finder) find(rooms []room, w *want) ([]piece, bool) {
	if w.members == 1 {
		return f.single(rooms, w)
	}
	if w.scope == ScopeWorker {
		return f.workers(rooms, w)
	}
	found, least := false, 0
	for _, g := range f.cell.groups(w.scope) {
		score, ok := f.fill(g, rooms, w)
		if ok && (!found || score < least) {
			found, least = true, score
			f.best, f.trial = f.trial, f.best
		}
	}
	return f.best, found
}

// fill puts all members into one group, on the most broken workers first.
func (f *finder) fill(g *group, rooms []room, w *want) (int, bool) {
	f.order = f.order[:0]
	total := 0
	for _, n := range f.cell.nodes[g.first:g.last] {
		r := &rooms[n.index]
		fit := r.fit(w, w.length(n), w.members)
		if fit == 0 {
			continue
		}
		total += fit
		rank := worth(r.mask)*4 + w.weight*worth(r.mask&r.dear)
		if n.rack.busy == 0 {
			rank += 4 * maxAccelerators
		}
		f.order = append(f.order, ranked{
			node: n,
			fit:  fit,
			rank: rank,
		})
	}
	if total < w.members {
		return 0, false
	}
	slices.SortStableFunc(f.order, func(a, b ranked) int {
		return a.rank - b.rank
	})
	f.trial = f.trial[:0]
	left, score := w.members, 0
	for _, candidate := range f.order {
		take := min(candidate.fit, left)
		score += f.take(candidate.node, rooms, w, take)
		left -= take
		if left == 0 {
			return score, true
		}
	}
	return 0, false
}

// single finds the place of one member, for which every scope is the same.
func (f *finder) single(rooms []room, w *want) ([]piece, bool) {
	var at *node
	var mask uint64
	least := 0
	var seen room
	var seenRun uint64
	var seenScore int
	for _, n := range f.cell.nodes {
		r := &rooms[n.index]
		length := w.length(n)
		if r.fit(w, length, 1) == 0 {
			continue
		}
		if seenRun == 0 || r.mask != seen.mask || r.dear != seen.dear || w.charged != nil {
			seen = *r
			seenRun, seenScore = bestRun(r.mask, length, r.dear, w.weight)
		}
		score := seenScore + n.broken()
		if at == nil || score < least {
			at, mask, least = n, seenRun, score
		}
	}
	if at == nil {
		return nil, false
	}
	f.best = append(f.best[:0], w.piece(at, mask))
	return f.best, true
}

// take appends count members on a node to the trial and returns their score.
func (f *finder) take(n *node, rooms []room, w *want, count int) int {
	r := rooms[n.index]
	score := n.broken()
	length := w.length(n)
	for range count {
		run, cost := bestRun(r.mask, length, r.dear, w.weight)
		score += cost
		r.mask &^= run
		f.trial = append(f.trial, w.piece(n, run))
	}
	return score
}

// workers finds the place of several members in one worker.
func (f *finder) workers(rooms []room, w *want) ([]piece, bool) {
	found, least := false, 0
	for _, n := range f.cell.nodes {
		if rooms[n.index].fit(w, w.length(n), w.members) < w.members {
			continue
		}
		f.trial = f.trial[:0]
		score := f.take(n, rooms, w, w.members)
		if !found || score < least {
			found, least = true, score
			f.best, f.trial = f.trial, f.best
		}
	}
	return f.best, found
}

// broken is the cost of using an idle worker: one worker's worth for every idle worker of its rack, because these form
// the next larger shape, and one more for an unused zone.
func (n *node) broken() int {
	if !n.idle() {
		return 0
	}
	cost := n.Accelerators * (n.rack.last - n.rack.first - n.rack.busy)
	if n.zone.busy == 0 {
		cost += n.Accelerators
	}
	return cost
}

// length is the number of adjacent accelerators that a member takes on a node.
func (w *want) length(n *node) int {
	if w.charged != nil {
		return n.charge(*w.charged)
	}
	return w.accelerators
}

func (w *want) piece(n *node, run uint64) piece {
	if w.charged == nil {
		return piece{
			node: n,
			mask: run,
		}
	}
	return piece{
		node:   n,
		mask:   lowest(run, w.accelerators),
		charge: run,
	}
}
