package placement

import (
	"fmt"
	"slices"
	"time"
)

// Restore records a job that was found running after a change of placer. Members on workers that are not known are
// ignored, so SetWorker comes first.
func (s *Scheduler) Restore(now time.Time, j Job, members []Assignment) {
	if known, ok := s.entries[j.ID]; ok {
		if known.state != queued {
			return
		}
		known.space.remove(known)
		s.drop(known)
	}
	s.cell.sortNodes()
	e := s.newEntry(now, j.normalized())
	for _, m := range members {
		if n, ok := s.cell.byID[m.Worker]; ok {
			e.pieces = append(e.pieces, piece{
				node: n,
				mask: m.Accelerators & n.all,
			})
		}
	}
	e.started = now
	e.state = running
	e.told = true
	s.occupy(e)
	for _, p := range e.pieces {
		s.displaceClaims(p)
	}
	if !j.evictable() {
		e.mode = stuck
		e.setStuck()
	}
	s.settle(e)
	if e.mode == stuck {
		s.displacePlan(e)
	}
	s.changed()
}

// displace takes a unit's place away; the jobs in it go on as borrowed or stuck work.
func (s *Scheduler) displace(u *unit) {
	for _, e := range s.occupants() {
		if !slices.Contains(e.units, u) {
			continue
		}
		if e.state == claiming {
			s.unclaim(e)
			s.requeue(e)
			continue
		}
		s.uncharge(e)
	}
	s.plan.lift(u)
}

// displaceClaims gives up claims that overlap a piece.
func (s *Scheduler) displaceClaims(p piece) {
	if p.node.claimed&p.mask != 0 {
		s.dropClaims(p.node)
	}
}

// displacePlan takes the places of units away that overlap stuck work.
func (s *Scheduler) displacePlan(e *entry) {
	for _, u := range s.plan.units {
		if slices.ContainsFunc(e.pieces, func(p piece) bool { return u.contains(p.node, p.mask) }) {
			s.displace(u)
		}
	}
}

// retire moves plan and claims off a node that goes out of service.
func (s *Scheduler) retire(n *node) {
	s.dropClaims(n)
	for _, u := range s.plan.units {
		if u.contains(n, n.all) {
			s.displace(u)
		}
	}
	s.changed()
}

// resettle charges running work to units again after the units changed, first what cannot be evicted.
func (s *Scheduler) resettle() {
	for _, want := range []mode{stuck, borrowed} {
		for _, e := range s.occupants() {
			if e.state == running && e.mode == want {
				s.settle(e)
			}
		}
		s.plan.complete()
	}
}

// setStuck keeps the plan clear of the entry.
func (e *entry) setStuck() {
	for _, p := range e.pieces {
		p.node.stuck |= p.mask
	}
}

func (e *entry) clearStuck() {
	for _, p := range e.pieces {
		p.node.stuck &^= p.mask
	}
}

// settle charges a running entry to its workspace's units if they cover it or can be moved to cover it.
func (s *Scheduler) settle(e *entry) {
	was := e.mode
	if was == stuck {
		e.clearStuck()
	}
	if s.settleOwn(e) {
		return
	}
	if was == stuck {
		e.setStuck()
	}
}

func (s *Scheduler) settleOwn(e *entry) bool {
	pieces := slices.Clone(e.pieces)
	if len(pieces) == 0 || !chargeable(e.job, pieces) {
		return false
	}
	if !e.space.covers(pieces) && !s.coverAny(e, pieces) {
		return false
	}
	e.pieces = pieces
	s.charge(e)
	return true
}

// chargeable sets the charges of pieces that run already. It reports whether all of them can be charged.
func chargeable(j Job, pieces []piece) bool {
	ok := true
	for i, p := range pieces {
		pieces[i].charge, ok = p.node.extend(j, p.mask)
		if !ok {
			break
		}
		p.node.used |= pieces[i].charge
	}
	for _, p := range pieces {
		p.node.used &^= p.charge
	}
	return ok
}

func (s *Scheduler) coverAny(e *entry, pieces []piece) bool {
	return slices.ContainsFunc(e.space.units, func(u *unit) bool {
		return u.jobs == 0 && u.holds(e.job) && s.plan.cover(u, pieces)
	})
}

// covers reports whether the workspace's units contain all charges.
func (sp *space) covers(pieces []piece) bool {
	for _, p := range pieces {
		var own uint64
		for _, u := range sp.units {
			for _, c := range u.cells {
				if c.node == p.node {
					own |= c.mask
				}
			}
		}
		if p.charge&^own != 0 {
			return false
		}
	}
	return len(pieces) > 0
}

// extend returns a run of the member's charge that contains its accelerators and is not used by another.
func (n *node) extend(j Job, mask uint64) (uint64, bool) {
	length := n.charge(j)
	if !n.inService() {
		return 0, false
	}
	for at := 0; at+length <= n.Accelerators; at++ {
		run := span(length) << at
		if run&mask == mask && run&n.used == 0 {
			return run, true
		}
	}
	return 0, false
}

// setZones takes zones out of service and brings them back.
func (s *Scheduler) setZones(zones []Zone) {
	s.zones = map[string]Zone{}
	for _, z := range zones {
		s.zones[z.Name] = z
	}
	for _, n := range s.cell.nodes {
		out := s.zoneOut(n.Zone)
		if out == n.zoneOut {
			continue
		}
		n.zoneOut = out
		n.returning = !out
		if out {
			s.retire(n)
		}
	}
}

// update takes over what changed on a worker whose position is the same.
func (s *Scheduler) update(n *node, w Worker) {
	n.freeCores += w.Cores - n.Cores
	n.freeMemory += w.Memory - n.Memory
	leaves := w.Leaving && !n.Leaving
	n.Worker = w
	s.cell.listed = nil
	if leaves {
		s.cell.sortNodes()
		s.retire(n)
	}
	s.changed()
}

// vacate takes a removed node out of the places of its jobs.
func (s *Scheduler) vacate(n *node) {
	s.cell.sortNodes()
	s.retire(n)
	for _, e := range slices.Clone(n.entries) {
		if e.mode == stuck {
			e.clearStuck()
		}
		n.leave(e)
		e.pieces = slices.DeleteFunc(e.pieces, func(p piece) bool { return p.node == n })
		if e.mode == stuck {
			e.setStuck()
		}
	}
}

func (s *Scheduler) zoneOut(name string) bool {
	z, ok := s.zones[name]
	return ok && !z.In
}

// fail handles the failure of a member on a worker.
func (s *Scheduler) fail(now time.Time, e *entry, result Result) {
	if n, ok := s.cell.byID[result.FailedWorker]; ok && n.health.fail(now, e.job.ID, s.config.Probe) {
		s.cell.sortNodes()
		s.retire(n)
	}
	if !e.probe && !slices.Contains(e.failed, result.FailedWorker) {
		e.failed = append(e.failed, result.FailedWorker)
		e.reasons = append(e.reasons, fmt.Sprintf("failed on %s: %s", result.FailedWorker, result.Reason))
	}
	if e.ended || !e.job.Idempotent {
		s.drop(e)
		return
	}
	if len(e.failed) < failsAfter {
		s.requeue(e)
		return
	}
	for _, id := range e.failed {
		if n, ok := s.cell.byID[id]; ok {
			s.change(n.health.forgive(e.job.ID))
		}
	}
	s.drop(e)
	s.out = append(s.out, Decision{
		Kind:    Refuse,
		Job:     e.job.ID,
		Reasons: e.reasons,
	})
}

// probe gives quarantined workers whose pause is over one idempotent job each.
func (s *Scheduler) probe(now time.Time) {
	for _, n := range s.cell.nodes {
		h := &n.health
		if !h.quarantined || h.probing != "" || now.Before(h.until) || n.zoneOut || n.Leaving {
			continue
		}
		if e := s.probeWith(n); e != nil {
			e.probe = true
			h.probing = e.job.ID
			s.start(now, e, "probe of quarantined worker "+n.ID)
		}
	}
}

// probeWith takes a queued idempotent job that fits on the node.
func (s *Scheduler) probeWith(n *node) *entry {
	rooms := make([]room, len(s.cell.nodes))
	rooms[n.index] = room{
		open:   true,
		mask:   n.free &^ n.claimed,
		cores:  n.freeCores - n.claimedCores,
		memory: n.freeMemory - n.claimedMemory,
	}
	for _, sp := range s.order {
		for _, c := range sp.order {
			e := c.head()
			if !e.job.Idempotent || e.job.Urgent || e.avoids(n) {
				continue
			}
			if pieces, ok := s.finder.find(rooms, e.want()); ok {
				s.take(e, pieces)
				return e
			}
		}
	}
	return nil
}
