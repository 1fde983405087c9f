package placement

import "math/bits"

// place is one member's accelerators in the checker's own terms.
type memberPlacement struct {
	worker int
	mask   uint64
}

// shapeOf is a guaranteed shape of a workspace.
type workspaceShape struct {
	owner string
	shape Shape
}

// checker looks for places of all guaranteed shapes at the same time by trying them all. It shares no code with the
// planner: it knows workers, shapes and the work that must not be evicted, and nothing of units or scores.
type referencePacker struct {
	workers []Worker
	free    []uint64
	// kept is the work of each workspace that has to lie inside its shapes.
	guaranteedWork map[string][]memberPlacement
	shapes         []workspaceShape
	placed         map[string][]memberPlacement
	stepsLeft      int
}

// packs reports whether all shapes fit beside and around the kept work, and whether the search was exhaustive.
func (c *referencePacker) pack() (ok, exhaustive bool) {
	c.placed = map[string][]memberPlacement{}
	c.stepsLeft = 300000
	ok = c.shape(0)
	return ok, c.stepsLeft > 0
}

func (c *referencePacker) shape(i int) bool {
	if i == len(c.shapes) {
		return c.coversGuaranteedWork()
	}
	return c.placeMember(i, 0, -1, 0)
}

func (c *referencePacker) coversGuaranteedWork() bool {
	for workspace, guaranteedWork := range c.guaranteedWork {
		for _, work := range guaranteedWork {
			var slotMask uint64
			for _, position := range c.placed[workspace] {
				if position.worker == work.worker {
					slotMask |= position.mask
				}
			}
			if work.mask&^slotMask != 0 {
				return false
			}
		}
	}
	return true
}

func (c *referencePacker) placeMember(i, memberIndex, previousWorker, firstWorker int) bool {
	s := c.shapes[i]
	if memberIndex == s.shape.Members {
		return c.shape(i + 1)
	}
	for w := firstWorker; w < len(c.workers); w++ {
		if previousWorker >= 0 && !sameScope(c.workers[previousWorker], c.workers[w], s.shape.Scope) {
			continue
		}
		for bit := 0; bit+s.shape.Accelerators <= c.workers[w].Accelerators; bit++ {
			c.stepsLeft--
			if c.stepsLeft <= 0 {
				return false
			}
			mask := (uint64(1)<<s.shape.Accelerators - 1) << bit
			if mask&^c.freeFor(w, s.owner) != 0 {
				continue
			}
			saved := c.placed[s.owner]
			c.free[w] &^= mask
			c.placed[s.owner] = append(saved[:len(saved):len(saved)], memberPlacement{
				worker: w,
				mask:   mask,
			})
			if c.placeMember(i, memberIndex+1, w, w) {
				return true
			}
			c.free[w] |= mask
			c.placed[s.owner] = saved
		}
	}
	return false
}

// openTo is what no shape holds yet and no other workspace's kept work uses.
func (c *referencePacker) freeFor(w int, workspace string) uint64 {
	free := c.free[w]
	for other, guaranteedWork := range c.guaranteedWork {
		for _, work := range guaranteedWork {
			if other != workspace && work.worker == w {
				free &^= work.mask
			}
		}
	}
	return free
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
