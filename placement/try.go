package placement

import (
	"math/bits"
	"slices"
	"time"
)

// baseRooms returns what is free for an entry now, without the places that are claimed. With backfill set, the place of
// the reservation counts as taken unless the entry is expected to end before the reservation begins.
func (s *Scheduler) baseRooms(now time.Time, e *entry, backfill bool) []room {
	s.rooms = s.rooms[:0]
	held := backfill && s.reservation.blocks(now, e) && !e.yieldsTo(s.reservation.entry)
	for _, n := range s.cell.nodes {
		r := room{}
		if n.accepts(now) && !e.avoids(n) {
			r.open = true
			r.mask = n.free &^ n.claimed
			r.cores = n.freeCores - n.claimedCores
			r.memory = n.freeMemory - n.claimedMemory
			r.dear = n.plan
		}
		s.rooms = append(s.rooms, r)
	}
	if held {
		s.reservation.subtract(s.rooms)
	}
	s.keepWarm(now, e)
	return s.rooms
}

// keepWarm takes the places of units out of rooms that other workspaces reclaimed a short while ago. Without it, a
// workspace with many short jobs evicts a large borrower for every few of them.
func (s *Scheduler) keepWarm(now time.Time, e *entry) {
	for _, u := range s.plan.units {
		if u.space == e.space || !now.Before(u.warm) {
			continue
		}
		for _, c := range u.cells {
			s.rooms[c.node.index].mask &^= c.mask
		}
	}
}

// ownRooms reduces rooms to the unused parts of units of one workspace.
func (s *Scheduler) ownRooms(rooms []room, units ...*unit) []room {
	own := make([]uint64, len(rooms))
	for _, u := range units {
		for _, c := range u.cells {
			own[c.node.index] |= c.mask
		}
	}
	for i, n := range s.cell.nodes {
		rooms[i].mask &= own[i] &^ n.used
		rooms[i].dear = own[i] &^ n.pinned
		rooms[i].open = rooms[i].open && rooms[i].mask != 0
	}
	return rooms
}

// candidates lists the sets of units in which a job may run: units that are in use already, then unused ones of its own
// shape or else the smallest that hold it. It may not break a larger shape while a smaller one is unused. A job that no
// unit holds may use several together.
func (sp *space) candidates(j Job) [][]*unit {
	if sp.unused() < j.size() {
		return nil
	}
	var out [][]*unit
	var together []*unit
	for _, u := range sp.units {
		if !u.placed() || u.jobs == 0 {
			continue
		}
		together = append(together, u)
		if u.holds(j) {
			out = append(out, []*unit{u})
		}
	}
	floating := sp.floating(j)
	for _, u := range floating {
		out = append(out, []*unit{u})
	}
	if len(floating) == 0 && !slices.ContainsFunc(sp.units, func(u *unit) bool { return u.holds(j) }) {
		return append(out, sp.units)
	}
	if together = append(together, floating...); len(together) > 1 {
		out = append(out, together)
	}
	return out
}

// unused counts the accelerators of the workspace's units that no job is charged for.
func (sp *space) unused() int {
	total := 0
	for _, u := range sp.units {
		for _, c := range u.cells {
			total += popcount(c.mask &^ c.node.used)
		}
	}
	return total
}

// floating returns the unused units of the job's own shape, or else the smallest ones that hold it.
func (sp *space) floating(j Job) []*unit {
	var out []*unit
	for _, u := range sp.units {
		if u.jobs > 0 || !u.placed() || !u.holds(j) {
			continue
		}
		if u.shape == j.shape() && (len(out) == 0 || out[0].shape != u.shape) {
			out = out[:0]
		}
		if len(out) == 0 || out[0].shape == u.shape || out[0].shape != j.shape() && out[0].shape.size() == u.shape.size() {
			out = append(out, u)
		}
	}
	return out
}

// try places an entry now, or claims a place that evictions will vacate.
func (s *Scheduler) try(now time.Time, e *entry) bool {
	if len(e.space.units) > 0 && (s.tryOwn(now, e) || s.tryCover(now, e)) {
		return true
	}
	if e.job.evictable() && s.tryBorrow(now, e) {
		return true
	}
	if len(e.space.units) > 0 && s.tryReclaim(now, e) {
		return true
	}
	return e.job.Urgent && e.job.evictable() && s.tryPreempt(now, e)
}

// tryOwn places an entry in free parts of its workspace's units.
func (s *Scheduler) tryOwn(now time.Time, e *entry) bool {
	for _, units := range e.space.candidates(e.job) {
		rooms := s.ownRooms(s.baseRooms(now, e, false), units...)
		pieces, ok := s.finder.find(rooms, e.chargedWant())
		if !ok {
			continue
		}
		s.take(e, pieces)
		s.charge(e)
		s.start(now, e, "within the guarantee")
		return true
	}
	return false
}

// tryCover places an entry on free accelerators and moves a floating unit of its workspace there.
func (s *Scheduler) tryCover(now time.Time, e *entry) bool {
	units := e.space.floating(e.job)
	if len(units) == 0 {
		return false
	}
	rooms := s.baseRooms(now, e, true)
	for i, n := range s.cell.nodes {
		rooms[i].mask &^= n.pinned | n.stuck
		rooms[i].dear = 0
	}
	pieces, ok := s.finder.find(rooms, e.chargedWant())
	if !ok {
		return false
	}
	pieces = append([]piece(nil), pieces...)
	for _, u := range units {
		if !s.plan.cover(u, pieces) {
			continue
		}
		s.take(e, pieces)
		s.charge(e)
		s.start(now, e, "within the guarantee")
		return true
	}
	return false
}

// tryBorrow places an entry on free accelerators beyond the guarantee.
func (s *Scheduler) tryBorrow(now time.Time, e *entry) bool {
	pieces, ok := s.finder.find(s.baseRooms(now, e, true), e.want())
	if !ok {
		return false
	}
	yields := s.reservation.blocks(now, e)
	s.take(e, pieces)
	s.start(now, e, "beyond the guarantee")
	e.yields = yields
	return true
}

// tryReclaim claims unused parts of the workspace's units and evicts the borrowers there.
func (s *Scheduler) tryReclaim(now time.Time, e *entry) bool {
	limit := e.space.reclaim()
	if e.job.Urgent {
		limit = min(limit, s.config.Urgent)
	}
	for _, units := range e.space.candidates(e.job) {
		rooms := s.evictRooms(now, e, func(other *entry) bool { return other.mode == borrowed })
		rooms = s.ownRooms(rooms, units...)
		for i, n := range s.cell.nodes {
			rooms[i].dear = n.all &^ n.free
		}
		w := e.chargedWant()
		w.weight = evictWeight
		pieces, ok := s.finder.find(rooms, w)
		if !ok {
			continue
		}
		s.take(e, pieces)
		s.charge(e)
		s.claim(e)
		s.vacateFor(now, e, limit, "workspace "+e.space.Name+" reclaims its guarantee")
		for _, u := range e.units {
			u.warm = now.Add(s.config.Warm)
		}
		return true
	}
	return false
}

// tryPreempt claims a place for an urgent entry on accelerators of borrowed work that is not urgent, as long as the
// workspace stays within its share.
func (s *Scheduler) tryPreempt(now time.Time, e *entry) bool {
	if !s.withinShare(e) {
		return false
	}
	gives := func(other *entry) bool { return other.mode == borrowed && !other.job.Urgent }
	return s.claimEvicting(now, e, gives, s.config.Urgent, "urgent job "+e.job.ID)
}

// claimEvicting claims a place for the entry on accelerators that are free or that entries which satisfy may leave
// within the limit.
func (s *Scheduler) claimEvicting(
	now time.Time, e *entry, may func(*entry) bool, limit time.Duration, reason string,
) bool {
	pieces, ok := s.findEvicting(now, e, may)
	if !ok {
		return false
	}
	s.take(e, pieces)
	s.claim(e)
	s.vacateFor(now, e, limit, reason)
	return true
}

// findEvicting finds a place for the entry on accelerators that are free or held by entries which satisfy may. It
// prefers the free ones.
func (s *Scheduler) findEvicting(now time.Time, e *entry, may func(*entry) bool) ([]piece, bool) {
	rooms := s.evictRooms(now, e, may)
	for i, n := range s.cell.nodes {
		rooms[i].dear = n.all &^ n.free
	}
	w := e.want()
	w.weight = evictWeight
	return s.finder.find(rooms, w)
}

// evictRooms returns what would be free if the entries that satisfy may were gone. Entries that are leaving count as
// gone.
func (s *Scheduler) evictRooms(now time.Time, e *entry, may func(*entry) bool) []room {
	rooms := s.baseRooms(now, e, false)
	for i, n := range s.cell.nodes {
		if !n.accepts(now) || e.avoids(n) {
			continue
		}
		for _, other := range n.entries {
			if other.state == evicting || may(other) {
				rooms[i].release(other, n)
			}
		}
		rooms[i].mask &^= n.claimed
	}
	return rooms
}

// release adds what an entry uses on a node.
func (r *room) release(e *entry, n *node) {
	for _, p := range e.pieces {
		if p.node == n {
			r.mask |= p.mask
			r.cores += e.job.Cores
			r.memory += e.job.Memory
		}
	}
}

// take gives an entry its place.
func (s *Scheduler) take(e *entry, pieces []piece) {
	e.pieces = append(e.pieces[:0], pieces...)
	e.space.remove(e)
}

// vacateFor evicts the entries on the place of a claim: those on its accelerators, then as many others as its cores
// and memory need, the last started first.
func (s *Scheduler) vacateFor(now time.Time, e *entry, limit time.Duration, reason string) {
	for _, p := range e.pieces {
		for _, other := range p.node.entries {
			if other.overlaps(p.node, p.mask) {
				s.evict(now, other, limit, reason)
			}
		}
	}
	for _, p := range e.pieces {
		for i := len(p.node.entries) - 1; i >= 0 && p.node.short(); i-- {
			if other := p.node.entries[i]; other.mode == borrowed && other.state == running {
				s.evict(now, other, limit, reason)
			}
		}
	}
}

// short reports whether cores or memory will not suffice for the claims when the evictions are complete.
func (n *node) short() bool {
	r := room{
		cores:  n.freeCores - n.claimedCores,
		memory: n.freeMemory - n.claimedMemory,
	}
	for _, e := range n.entries {
		if e.state == evicting {
			r.release(e, n)
		}
	}
	return r.cores < 0 || r.memory < 0
}

// holds reports whether the unit is large enough for the job.
func (u *unit) holds(j Job) bool {
	charge := max(j.Accelerators, 1)
	if u.placed() {
		charge = u.cells[0].node.charge(j)
	}
	return u.shape.members(j.Scope, charge) >= j.Members
}

// reclaim is the workspace's limit for evicting borrowers.
func (sp *space) reclaim() time.Duration {
	const usual = 10 * time.Second
	if sp.Reclaim > 0 {
		return sp.Reclaim
	}
	return usual
}

// withinShare reports whether the workspace, with one more job, uses no more than its share.
func (s *Scheduler) withinShare(e *entry) bool {
	return float64(e.space.usage+e.job.size()) <= s.fair(e.space)
}

// popcount is short for the number of accelerators of a set.
func popcount(mask uint64) int {
	return bits.OnesCount64(mask)
}
