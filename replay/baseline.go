package replay

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"radishpath.example/radishpath/placement"
)

// Baseline is a simple placer without guarantees, estimates or evictions: strict FIFO with first fit, or the shortest
// declared run time first with best fit. It never blames a worker, and leaves running work in a zone that is out.
type Baseline struct {
	shortest bool
	// fixed binds accelerators to cells in advance.
	fixed   bool
	workers []placement.Worker
	free    map[string]uint64
	cores   map[string]int
	zones   map[string]bool
	queue   []placement.Job
	running map[string]placement.Decision
	jobs    map[string]placement.Job
}

// NewFIFO returns strict first in, first out with first fit.
func NewFIFO() *Baseline {
	return &Baseline{
		free:    map[string]uint64{},
		cores:   map[string]int{},
		zones:   map[string]bool{},
		running: map[string]placement.Decision{},
		jobs:    map[string]placement.Job{},
	}
}

// NewShortest returns shortest declared run time first with best fit.
func NewShortest() *Baseline {
	b := NewFIFO()
	b.shortest = true
	return b
}

// NewFixed returns shortest declared first on buddy cells that are bound in advance: two racks in cells of 8
// accelerators, one in cells of 4, one in cells of 2 and 1. A member takes a whole cell.
func NewFixed() *Baseline {
	b := NewShortest()
	b.fixed = true
	return b
}

// Cancel takes a job out of the queue.
func (b *Baseline) Cancel(_ time.Time, id string) {
	b.queue = slices.DeleteFunc(b.queue, func(j placement.Job) bool { return j.ID == id })
	delete(b.jobs, id)
}

// Decide places jobs in order; FIFO stops at the first that does not fit.
func (b *Baseline) Decide(time.Time) []placement.Decision {
	if b.shortest {
		sort.SliceStable(b.queue, func(i, k int) bool { return b.queue[i].Declared < b.queue[k].Declared })
	}
	var out []placement.Decision
	refused := map[placement.Shape]bool{}
	var rest []placement.Job
	for i, j := range b.queue {
		shape := placement.Shape{
			Members:      j.Members,
			Accelerators: j.Accelerators,
			Scope:        j.Scope,
		}
		members := []placement.Assignment(nil)
		if !refused[shape] {
			members = b.place(j)
		}
		if members == nil {
			refused[shape] = true
			rest = append(rest, j)
			if !b.shortest {
				rest = append(rest, b.queue[i+1:]...)
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
		out = append(out, d)
	}
	b.queue = rest
	return out
}

// Ended frees the place; a failed job is tried again.
func (b *Baseline) Ended(_ time.Time, id string, result placement.Result) {
	for _, m := range b.running[id].Members {
		b.free[m.Worker] |= m.Accelerators
	}
	delete(b.running, id)
	if j, ok := b.jobs[id]; ok && !result.OK {
		b.queue = append(b.queue, j)
	}
}

// SetPolicy takes over the zones.
func (b *Baseline) SetPolicy(p placement.Policy) {
	for _, z := range p.Zones {
		b.zones[z.Name] = !z.In
	}
}

// SetWorker adds a worker.
func (b *Baseline) SetWorker(_ time.Time, w placement.Worker) {
	b.workers = append(b.workers, w)
	b.free[w.ID] = 1<<w.Accelerators - 1
}

// Submit queues a job. So that a strict queue does not stop for ever, jobs that no empty cell holds are refused.
func (b *Baseline) Submit(_ time.Time, j placement.Job) error {
	saved := b.free
	b.free = map[string]uint64{}
	for _, w := range b.workers {
		b.free[w.ID] = 1<<w.Accelerators - 1
	}
	zones := b.zones
	b.zones = map[string]bool{}
	fits := b.place(j) != nil
	b.free, b.zones = saved, zones
	if !fits {
		return placement.ErrNeverRuns
	}
	b.jobs[j.ID] = j
	b.queue = append(b.queue, j)
	return nil
}

// place finds members within the first part of the topology that holds them all.
func (b *Baseline) place(j placement.Job) []placement.Assignment {
	for _, anchor := range b.ordered(placement.Worker{}, placement.ScopeAny) {
		var members []placement.Assignment
		taken := map[string]uint64{}
		for _, w := range b.ordered(anchor, j.Scope) {
			for len(members) < j.Members {
				mask, ok := b.run(w, b.free[w.ID]&^taken[w.ID], j.Accelerators)
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
				b.free[id] &^= mask
			}
			return members
		}
	}
	return nil
}

// ordered lists the workers near an anchor; for best fit the fullest come first.
func (b *Baseline) ordered(anchor placement.Worker, scope placement.Scope) []placement.Worker {
	var out []placement.Worker
	for _, w := range b.workers {
		near := scope == placement.ScopeAny || w.ID == anchor.ID ||
			scope == placement.ScopeZone && w.Zone == anchor.Zone ||
			scope == placement.ScopeRack && w.Zone == anchor.Zone && w.Rack == anchor.Rack
		if near && !b.zones[w.Zone] {
			out = append(out, w)
		}
	}
	if b.shortest {
		sort.SliceStable(out, func(i, k int) bool {
			return bits.OnesCount64(b.free[out[i].ID]) < bits.OnesCount64(b.free[out[k].ID])
		})
	}
	return out
}

// run returns the accelerators of the next member on a worker.
func (b *Baseline) run(w placement.Worker, free uint64, length int) (uint64, bool) {
	if !b.fixed {
		return firstRun(free, length)
	}
	cells := []uint64{0xff}
	switch w.Rack {
	case "r2":
		cells = []uint64{0x0f, 0xf0}
	case "r3":
		cells = []uint64{0x01, 0x02, 0x04, 0x08, 0x30, 0xc0}
	}
	for _, c := range cells {
		if free&c == c && bits.OnesCount64(c) >= length {
			return c, true
		}
	}
	return 0, false
}

func firstRun(mask uint64, length int) (uint64, bool) {
	run := uint64(1)<<length - 1
	for at := 0; at+length <= 64; at++ {
		if mask&(run<<at) == run<<at {
			return run << at, true
		}
	}
	return 0, false
}
