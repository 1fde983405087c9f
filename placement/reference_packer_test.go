package placement

import "math/bits"

// memberPlacement is the worker index and the accelerators of one member.
type memberPlacement struct {
	worker int
	mask   uint64
}

// workspaceShape is a guaranteed shape of a workspace.
type workspaceShape struct {
	owner string
	shape Shape
}

// referencePacker tries every combination of places for all guaranteed shapes. It shares no code with the plan: it
// knows only workers, shapes and jobs that must not be evicted.
type referencePacker struct {
	workers []Worker
	free    []uint64
	// guaranteedWork is the work of each workspace that has to lie inside its shapes.
	guaranteedWork map[string][]memberPlacement
	shapes         []workspaceShape
	placed         map[string][]memberPlacement
	stepsLeft      int
}

// pack reports whether all shapes fit around the guaranteed work, and whether the search was exhaustive.
func (packer *referencePacker) pack() (ok, exhaustive bool) {
	packer.placed = map[string][]memberPlacement{}
	packer.stepsLeft = 300000
	ok = packer.shape(0)
	return ok, packer.stepsLeft > 0
}

func (packer *referencePacker) shape(i int) bool {
	if i == len(packer.shapes) {
		return packer.coversGuaranteedWork()
	}
	return packer.placeMember(i, 0, -1, 0)
}

func (packer *referencePacker) coversGuaranteedWork() bool {
	for workspace, guaranteedWork := range packer.guaranteedWork {
		for _, work := range guaranteedWork {
			var slotMask uint64
			for _, position := range packer.placed[workspace] {
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

func (packer *referencePacker) placeMember(i, memberIndex, previousWorker, firstWorker int) bool {
	workspaceShape := packer.shapes[i]
	if memberIndex == workspaceShape.shape.Members {
		return packer.shape(i + 1)
	}
	for w := firstWorker; w < len(packer.workers); w++ {
		if previousWorker >= 0 && !sameScope(packer.workers[previousWorker], packer.workers[w], workspaceShape.shape.Scope) {
			continue
		}
		for bit := 0; bit+workspaceShape.shape.Accelerators <= packer.workers[w].Accelerators; bit++ {
			packer.stepsLeft--
			if packer.stepsLeft <= 0 {
				return false
			}
			mask := (uint64(1)<<workspaceShape.shape.Accelerators - 1) << bit
			if mask&^packer.freeFor(w, workspaceShape.owner) != 0 {
				continue
			}
			saved := packer.placed[workspaceShape.owner]
			packer.free[w] &^= mask
			packer.placed[workspaceShape.owner] = append(saved[:len(saved):len(saved)], memberPlacement{
				worker: w,
				mask:   mask,
			})
			if packer.placeMember(i, memberIndex+1, w, w) {
				return true
			}
			packer.free[w] |= mask
			packer.placed[workspaceShape.owner] = saved
		}
	}
	return false
}

// freeFor returns the accelerators of a worker that no shape uses yet and no guaranteed work of another workspace
// uses.
func (packer *referencePacker) freeFor(w int, workspace string) uint64 {
	free := packer.free[w]
	for other, guaranteedWork := range packer.guaranteedWork {
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
