package placement

import "math/bits"

// place is one member's accelerators in the checker's own terms.
type place struct {
	worker int
	mask   uint64
}

// shapeOf is a guaranteed shape of a workspace.
type shapeOf struct {
	workspace string
	shape     Shape
}

// checker looks for places of all guaranteed shapes at the same time by trying them all. It shares no code with the
// planner: it knows workers, shapes and the work that must not be evicted, and nothing of units or scores.
type checker struct {
	workers []Worker
	open    []uint64
	// kept is the work of each workspace that has to lie inside its shapes.
	kept  map[string][]place
	all   []shapeOf
	taken map[string][]place
	steps int
}

// packs reports whether all shapes fit beside and around the kept work, and whether the search was exhaustive.
func (c *checker) packs() (ok, exhaustive bool) {
	c.taken = map[string][]place{}
	c.steps = 300000
	ok = c.shape(0)
	return ok, c.steps > 0
}

func (c *checker) shape(i int) bool {
	if i == len(c.all) {
		return c.covered()
	}
	return c.member(i, 0, -1, 0)
}

func (c *checker) covered() bool {
	for workspace, kept := range c.kept {
		for _, k := range kept {
			var own uint64
			for _, t := range c.taken[workspace] {
				if t.worker == k.worker {
					own |= t.mask
				}
			}
			if k.mask&^own != 0 {
				return false
			}
		}
	}
	return true
}

func (c *checker) member(i, k, anchor, from int) bool {
	s := c.all[i]
	if k == s.shape.Members {
		return c.shape(i + 1)
	}
	for w := from; w < len(c.workers); w++ {
		if anchor >= 0 && !sameScope(c.workers[anchor], c.workers[w], s.shape.Scope) {
			continue
		}
		for at := 0; at+s.shape.Accelerators <= c.workers[w].Accelerators; at++ {
			c.steps--
			if c.steps <= 0 {
				return false
			}
			mask := (uint64(1)<<s.shape.Accelerators - 1) << at
			if mask&^c.openTo(w, s.workspace) != 0 {
				continue
			}
			before := c.taken[s.workspace]
			c.open[w] &^= mask
			c.taken[s.workspace] = append(before[:len(before):len(before)], place{
				worker: w,
				mask:   mask,
			})
			if c.member(i, k+1, w, w) {
				return true
			}
			c.open[w] |= mask
			c.taken[s.workspace] = before
		}
	}
	return false
}

// openTo is what no shape holds yet and no other workspace's kept work uses.
func (c *checker) openTo(w int, workspace string) uint64 {
	open := c.open[w]
	for other, kept := range c.kept {
		for _, k := range kept {
			if other != workspace && k.worker == w {
				open &^= k.mask
			}
		}
	}
	return open
}

func sameScope(a, b Worker, scope Scope) bool {
	switch scope {
	case ScopeWorker:
		return a.ID == b.ID
	case ScopeRack:
		return a.Rack == b.Rack && a.Zone == b.Zone
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeAny:
	}
	return true
}

func contiguous(mask uint64) bool {
	if mask == 0 {
		return true
	}
	mask >>= bits.TrailingZeros64(mask)
	return mask&(mask+1) == 0
}
