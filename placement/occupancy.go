package placement

import (
	"slices"
	"time"
)

// charge books the pieces of an entry on the units of its workspace and pins them.
func (s *Scheduler) charge(e *entry) {
	e.mode = guaranteed
	for _, p := range e.pieces {
		p.node.used |= p.charge
	}
	for _, u := range e.space.units {
		if slices.ContainsFunc(e.pieces, func(p piece) bool { return u.contains(p.node, p.charge) }) {
			s.plan.pin(u)
			e.units = append(e.units, u)
			if !u.warm.IsZero() {
				u.warm = s.now.Add(s.config.Warm)
			}
		}
	}
}

// uncharge takes a running entry out of the guarantee. It goes on as borrowed work, or as stuck work if it cannot be
// evicted.
func (s *Scheduler) uncharge(e *entry) {
	if e.mode != guaranteed {
		return
	}
	s.refund(e)
	if !e.job.evictable() {
		e.mode = stuck
		e.setStuck()
	}
}

// refund undoes charge.
func (s *Scheduler) refund(e *entry) {
	if e.mode != guaranteed {
		return
	}
	for i, p := range e.pieces {
		p.node.used &^= p.charge
		e.pieces[i].charge = 0
	}
	for _, u := range e.units {
		s.plan.unpin(u)
	}
	e.units = nil
	e.mode = borrowed
}

// occupy books accelerators, cores and memory of an entry.
func (s *Scheduler) occupy(e *entry) {
	for _, p := range e.pieces {
		p.node.free &^= p.mask
		p.node.freeCores -= e.job.Cores
		p.node.freeMemory -= e.job.Memory
		p.node.use(e)
	}
	e.space.usage += e.job.size()
}

// start runs a queued entry on its pieces.
func (s *Scheduler) start(now time.Time, e *entry, reasons ...string) {
	s.occupy(e)
	e.state = running
	e.started = now
	e.yields = false
	if s.reservation.entry == e {
		s.unreserve()
	}
	s.out = append(s.out, Decision{
		Kind:     Place,
		Job:      e.job.ID,
		Members:  e.assignments(),
		Borrowed: e.mode == borrowed,
		Reasons:  reasons,
	})
}

// release frees what a running entry occupies.
func (s *Scheduler) release(e *entry) {
	for _, p := range e.pieces {
		p.node.free |= p.mask
		p.node.freeCores += e.job.Cores
		p.node.freeMemory += e.job.Memory
		p.node.leave(e)
		if e.mode == stuck {
			p.node.stuck &^= p.mask
		}
		if p.node.health.probing == e.job.ID {
			p.node.health.probing = ""
		}
	}
	s.refund(e)
	e.space.usage -= e.job.size()
	if e.state == evicting {
		s.evictions = slices.DeleteFunc(s.evictions, func(other *entry) bool { return other == e })
	}
	e.state = queued
	e.mode = borrowed
	e.pieces = nil
	s.changed()
}

// claim keeps a place for an entry until its occupants have left. The entry leaves the queue.
func (s *Scheduler) claim(e *entry) {
	e.state = claiming
	for _, p := range e.pieces {
		p.node.claimed |= p.mask
		p.node.claimedCores += e.job.Cores
		p.node.claimedMemory += e.job.Memory
	}
	e.space.usage += e.job.size()
	s.claims = append(s.claims, e)
	if s.reservation.entry == e {
		s.unreserve()
	}
}

// unclaim gives the place up; the entry is neither queued nor running afterwards.
func (s *Scheduler) unclaim(e *entry) {
	s.unhold(e)
	s.refund(e)
	e.pieces = nil
	e.mode = borrowed
	s.changed()
}

// unhold frees what claim kept, without touching the charge.
func (s *Scheduler) unhold(e *entry) {
	for _, p := range e.pieces {
		p.node.claimed &^= p.mask
		p.node.claimedCores -= e.job.Cores
		p.node.claimedMemory -= e.job.Memory
	}
	e.space.usage -= e.job.size()
	s.claims = slices.DeleteFunc(s.claims, func(other *entry) bool { return other == e })
}

// finishClaims starts the entries whose places have been vacated.
func (s *Scheduler) finishClaims(now time.Time) {
	for _, e := range slices.Clone(s.claims) {
		if slices.ContainsFunc(e.pieces, func(p piece) bool { return !p.node.inService() }) {
			s.unclaim(e)
			s.requeue(e)
			continue
		}
		if !vacant(e) {
			continue
		}
		s.unhold(e)
		s.start(now, e, "its place has been vacated")
	}
}

// vacant reports whether the place of a claim is free.
func vacant(e *entry) bool {
	for _, p := range e.pieces {
		cores, memory := 0, int64(0)
		for _, other := range e.pieces {
			if other.node == p.node {
				cores += e.job.Cores
				memory += e.job.Memory
			}
		}
		if p.node.free&p.mask != p.mask || p.node.freeCores < cores || p.node.freeMemory < memory {
			return false
		}
	}
	return true
}

// dropClaims gives up the claims on a node that goes out of service.
func (s *Scheduler) dropClaims(n *node) {
	for _, e := range slices.Clone(s.claims) {
		if slices.ContainsFunc(e.pieces, func(p piece) bool { return p.node == n }) {
			s.unclaim(e)
			s.requeue(e)
		}
	}
}

// evict asks for the end of a running entry.
func (s *Scheduler) evict(now time.Time, e *entry, limit time.Duration, reason string) {
	if e.state == evicting && !now.Add(limit).Before(e.until) {
		return
	}
	checkpoint := e.job.Checkpointable
	s.settleEvicting(e, now, limit)
	s.out = append(s.out, Decision{
		Kind:       Evict,
		Job:        e.job.ID,
		Members:    e.assignments(),
		Borrowed:   e.mode == borrowed,
		Checkpoint: checkpoint,
		Limit:      limit,
		Reasons:    []string{reason},
	})
}

func (s *Scheduler) settleEvicting(e *entry, now time.Time, limit time.Duration) {
	if e.state != evicting {
		s.evictions = append(s.evictions, e)
	}
	e.state = evicting
	e.limit = limit
	e.until = now.Add(limit)
}

// repeatEvictions stops, without a checkpoint, what has not ended in time.
func (s *Scheduler) repeatEvictions(now time.Time) {
	for _, e := range s.evictions {
		if e.limit <= 0 || now.Before(e.until) {
			continue
		}
		e.until = now.Add(e.limit)
		s.out = append(s.out, Decision{
			Kind:     Evict,
			Job:      e.job.ID,
			Members:  e.assignments(),
			Borrowed: e.mode == borrowed,
			Limit:    0,
			Reasons:  []string{"not stopped within its limit"},
		})
	}
}

// occupants returns the running, evicting and claiming entries in a fixed order.
func (s *Scheduler) occupants() []*entry {
	out := slices.Clone(s.claims)
	for _, n := range s.cell.nodes {
		for _, e := range n.entries {
			if e.pieces[0].node == n {
				out = append(out, e)
			}
		}
	}
	return out
}
