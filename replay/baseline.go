package replay

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"radishpath.example/radishpath/placement"
)

// Baseline is a simple scheduler without guarantees, run time estimates or evictions: strict FIFO with first fit, or
// shortest declared run time first with best fit. It does not quarantine failing workers, and it leaves running jobs
// in a zone that is taken out of service.
type Baseline struct {
	shortestFirst bool
	// fixedCells partitions the accelerators into buddy cells in advance.
	fixedCells bool
	workers    []placement.Worker
	// freeMasks holds a bit mask of the free accelerators per worker ID.
	freeMasks         map[string]uint64
	cores             map[string]int
	zonesOutOfService map[string]bool
	queue             []placement.Job
	running           map[string]placement.Decision
	jobs              map[string]placement.Job
}

// NewFIFO returns a strict FIFO scheduler with first fit.
func NewFIFO() *Baseline {
	return &Baseline{
		freeMasks:         map[string]uint64{},
		cores:             map[string]int{},
		zonesOutOfService: map[string]bool{},
		running:           map[string]placement.Decision{},
		jobs:              map[string]placement.Job{},
	}
}

// NewShortestFirst returns a scheduler that places the shortest declared run time first, with best fit.
func NewShortestFirst() *Baseline {
	b := NewFIFO()
	b.shortestFirst = true
	return b
}

// NewFixedCells returns a shortest-first scheduler on buddy cells with a fixed partition: two racks in cells of 8
// accelerators, one in cells of 4, and one in cells of 2 and 1. A member occupies a whole cell.
func NewFixedCells() *Baseline {
	b := NewShortestFirst()
	b.fixedCells = true
	return b
}

// Cancel removes a job from the queue.
func (b *Baseline) Cancel(_ time.Time, id string) {
	b.queue = slices.DeleteFunc(b.queue, func(j placement.Job) bool { return j.ID == id })
	delete(b.jobs, id)
}

// Decide places queued jobs in order. FIFO stops at the first job that does not fit.
func (b *Baseline) Decide(time.Time) []placement.Decision {
	if b.shortestFirst {
		sort.SliceStable(b.queue, func(i, k int) bool { return b.queue[i].Declared < b.queue[k].Declared })
	}
	var decisions []placement.Decision
	unplaceable := map[placement.Shape]bool{}
	var remaining []placement.Job
	for i, j := range b.queue {
		shape := placement.Shape{
			Members:      j.Members,
			Accelerators: j.Accelerators,
			Scope:        j.Scope,
		}
		members := []placement.Assignment(nil)
		if !unplaceable[shape] {
			members = b.allocate(j)
		}
		if members == nil {
			unplaceable[shape] = true
			remaining = append(remaining, j)
			if !b.shortestFirst {
				remaining = append(remaining, b.queue[i+1:]...)
				break
			}
			continue
		}
		d := placement.Decision{
			Kind:    placement.Place,
			Job:     j.ID,
			Members: members,
		}
		b.running[j.ID] = d
		decisions = append(decisions, d)
	}
	b.queue = remaining
	return decisions
}

// Ended releases the accelerators of a run. A job whose run did not succeed is queued again.
func (b *Baseline) Ended(_ time.Time, id string, result placement.Result) {
	for _, m := range b.running[id].Members {
		b.freeMasks[m.Worker] |= m.Accelerators
	}
	delete(b.running, id)
	if j, ok := b.jobs[id]; ok && !result.OK {
		b.queue = append(b.queue, j)
	}
}

// SetPolicy applies the service state of the availability zones and ignores the rest of the policy.
func (b *Baseline) SetPolicy(p placement.Policy) {
	for _, z := range p.Zones {
		b.zonesOutOfService[z.Name] = !z.In
	}
}

// SetWorker adds a worker.
func (b *Baseline) SetWorker(_ time.Time, w placement.Worker) {
	b.workers = append(b.workers, w)
	b.freeMasks[w.ID] = 1<<w.Accelerators - 1
}

// Submit queues a job. It refuses jobs that do not fit into an empty cluster, since they would block a strict FIFO
// queue forever.
func (b *Baseline) Submit(_ time.Time, j placement.Job) error {
	savedFreeMasks := b.freeMasks
	b.freeMasks = map[string]uint64{}
	for _, w := range b.workers {
		b.freeMasks[w.ID] = 1<<w.Accelerators - 1
	}
	zonesOutOfService := b.zonesOutOfService
	b.zonesOutOfService = map[string]bool{}
	fits := b.allocate(j) != nil
	b.freeMasks, b.zonesOutOfService = savedFreeMasks, zonesOutOfService
	if !fits {
		return placement.ErrNeverRuns
	}
	b.jobs[j.ID] = j
	b.queue = append(b.queue, j)
	return nil
}

// allocate takes accelerators for all members of a job within its scope. It returns nil and takes nothing if they do
// not fit.
func (b *Baseline) allocate(j placement.Job) []placement.Assignment {
	for _, anchor := range b.candidates(placement.Worker{}, placement.ScopeAny) {
		var members []placement.Assignment
		taken := map[string]uint64{}
		for _, w := range b.candidates(anchor, j.Scope) {
			for len(members) < j.Members {
				mask, ok := b.adjacentAccelerators(w, b.freeMasks[w.ID]&^taken[w.ID], j.Accelerators)
				if !ok {
					break
				}
				taken[w.ID] |= mask
				members = append(members, placement.Assignment{
					Worker:       w.ID,
					Accelerators: mask,
				})
			}
		}
		if len(members) == j.Members {
			for id, mask := range taken {
				b.freeMasks[id] &^= mask
			}
			return members
		}
	}
	return nil
}

// candidates returns the workers in service that are in the scope of the anchor. For best fit, those with the fewest
// free accelerators come first.
func (b *Baseline) candidates(anchor placement.Worker, scope placement.Scope) []placement.Worker {
	var eligible []placement.Worker
	for _, w := range b.workers {
		inScope := scope == placement.ScopeAny || w.ID == anchor.ID ||
			scope == placement.ScopeZone && w.Zone == anchor.Zone ||
			scope == placement.ScopeRack && w.Zone == anchor.Zone && w.Rack == anchor.Rack
		if inScope && !b.zonesOutOfService[w.Zone] {
			eligible = append(eligible, w)
		}
	}
	if b.shortestFirst {
		sort.SliceStable(eligible, func(i, k int) bool {
			return bits.OnesCount64(b.freeMasks[eligible[i].ID]) < bits.OnesCount64(b.freeMasks[eligible[k].ID])
		})
	}
	return eligible
}

// adjacentAccelerators returns the mask of the first free accelerators on a worker that hold a member.
func (b *Baseline) adjacentAccelerators(w placement.Worker, freeMask uint64, length int) (uint64, bool) {
	if !b.fixedCells {
		return firstAdjacent(freeMask, length)
	}
	cells := []uint64{0xff}
	switch w.Rack {
	case "r2":
		cells = []uint64{0x0f, 0xf0}
	case "r3":
		cells = []uint64{0x01, 0x02, 0x04, 0x08, 0x30, 0xc0}
	}
	for _, c := range cells {
		if freeMask&c == c && bits.OnesCount64(c) >= length {
			return c, true
		}
	}
	return 0, false
}

// firstAdjacent returns the mask of the first run of free adjacent accelerators of the given length.
func firstAdjacent(freeMask uint64, length int) (uint64, bool) {
	pattern := uint64(1)<<length - 1
	for offset := 0; offset+length <= 64; offset++ {
		if freeMask&(pattern<<offset) == pattern<<offset {
			return pattern << offset, true
		}
	}
	return 0, false
}
