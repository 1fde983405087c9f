package placement

import (
	"slices"
	"time"
)

const (
	// largeSize is the number of accelerators from which a blocked job may hold the reservation: half a worker of
	// eight. Smaller ones fit into what any end frees.
	largeSize = 4
	// moveMin is how long a job must have run before it is moved, and moveMax how often a job is moved.
	moveMin = 30 * time.Second
	moveMax = 3
)

// reservation is the place and time that the oldest blocked large job is expected to get.
type reservation struct {
	entry  *entry
	at     time.Time
	since  time.Time
	pieces []piece
}

// blocks reports whether an entry that starts now is expected to end after the reservation begins.
func (r *reservation) blocks(now time.Time, e *entry) bool {
	return r.entry != nil && r.entry != e && now.Add(e.remaining()).After(r.at)
}

// subtract takes the reserved place out of rooms.
func (r *reservation) subtract(rooms []room) {
	for _, p := range r.pieces {
		room := &rooms[p.node.index]
		room.mask &^= p.mask
		room.cores -= r.entry.job.Cores
		room.memory -= r.entry.job.Memory
	}
}

func (s *Scheduler) unreserve() {
	s.reservation = reservation{}
	s.version++
}

// serveReserved tries the job with the reservation before all others that are not urgent.
func (s *Scheduler) serveReserved(now time.Time) {
	e := s.reservation.entry
	if e == nil {
		return
	}
	if e.state != queued {
		s.unreserve()
		return
	}
	if e.class.refused == s.version && now.Before(s.reservation.at) && !s.overdue(now) {
		return
	}
	if e.class.refused != s.version {
		if s.try(now, e) || s.tryYielding(now, e) {
			return
		}
		if e == e.class.head() {
			e.class.refused = s.version
		}
	}
	s.plan.complete()
	s.reserve(now, e)
	if s.overdue(now) {
		s.tryMove(now, e)
	}
}

// overdue reports whether the reservation has waited long enough to move others for it.
func (s *Scheduler) overdue(now time.Time) bool {
	r := &s.reservation
	return now.Sub(r.since) >= s.config.Patience && r.at.Sub(now) > s.config.Patience
}

// considerReserving reserves for a large job as soon as it is refused, so that the jobs tried after it respect the
// reservation.
func (s *Scheduler) considerReserving(now time.Time, e *entry) {
	if s.reservation.entry == nil && e.large() {
		s.reserve(now, e)
	}
}

// reserveOldest passes the reservation on to the oldest blocked large job.
func (s *Scheduler) reserveOldest(now time.Time) {
	oldest := s.reservation.entry
	for _, sp := range s.order {
		for _, c := range sp.order {
			e := c.head()
			if e.large() && (oldest == nil || e.job.Accepted.Before(oldest.job.Accepted)) {
				oldest = e
			}
		}
	}
	if oldest != nil && oldest != s.reservation.entry {
		s.reserve(now, oldest)
	}
}

func (e *entry) large() bool {
	return e.job.size() >= largeSize
}

// reserve computes the earliest time at which the running work is expected to leave a place for the entry.
func (s *Scheduler) reserve(now time.Time, e *entry) {
	if s.reservation.entry != e {
		s.reservation = reservation{
			entry: e,
			since: now,
		}
	}
	ends := s.ends(now)
	low, high := 0, len(ends)
	for low < high {
		middle := (low + high) / 2
		if _, ok := s.shadow(now, e, ends[middle]); ok {
			high = middle
		} else {
			low = middle + 1
		}
	}
	s.reservation.pieces = nil
	s.reservation.at = now.Add(time.Hour)
	if low < len(ends) {
		pieces, _ := s.shadow(now, e, ends[low])
		s.reservation.pieces = append(s.reservation.pieces, pieces...)
		s.reservation.at = ends[low]
	}
}

// ends lists the expected ends of the running work, in order.
func (s *Scheduler) ends(now time.Time) []time.Time {
	var ends []time.Time
	for _, n := range s.cell.nodes {
		for _, e := range n.entries {
			if e.pieces[0].node == n {
				ends = append(ends, e.ends(now))
			}
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return slices.Compact(ends)
}

// shadow finds a place for the entry among what is free when the running work expected to end by then has ended.
func (s *Scheduler) shadow(now time.Time, e *entry, then time.Time) ([]piece, bool) {
	rooms := s.evictRooms(now, e, func(other *entry) bool {
		return other.mode == borrowed && other.yields || !other.ends(now).After(then)
	})
	if e.job.evictable() {
		pieces, ok := s.finder.find(rooms, e.want())
		return pieces, ok
	}
	pieces, ok := s.finder.find(s.ownRooms(rooms, e.space.units...), e.chargedWant())
	return pieces, ok
}

// yieldsTo reports whether an entry may run on the place that is reserved for another until that one can start. It has
// to be checkpointable, so that little is lost, and at most half as large.
func (e *entry) yieldsTo(other *entry) bool {
	return other != nil && e.job.Checkpointable && !e.job.Urgent && 2*e.job.size() <= other.job.size()
}

// tryYielding claims a place for the entry on which only work runs that yields to the reservation.
func (s *Scheduler) tryYielding(now time.Time, e *entry) bool {
	if !e.job.evictable() {
		return false
	}
	yields := func(other *entry) bool { return other.mode == borrowed && other.yields }
	return s.claimEvicting(now, e, yields, e.space.reclaim(), "yields to "+e.job.ID)
}

// tryMove claims a place for the entry on accelerators of smaller checkpointable borrowed jobs, if these fit elsewhere
// right now. The jobs moved are at most half as large as the entry, so that moves do not feed on each other.
func (s *Scheduler) tryMove(now time.Time, e *entry) bool {
	if !e.job.evictable() {
		return false
	}
	pieces, ok := s.findEvicting(now, e, func(other *entry) bool { return other.movable(now, e) })
	if !ok {
		return false
	}
	pieces = slices.Clone(pieces)
	victims, size := victims(pieces)
	if 2*size > e.job.size() || len(victims) == 0 || !s.fitElsewhere(now, pieces, victims) {
		return false
	}
	s.take(e, pieces)
	s.claim(e)
	for _, v := range victims {
		v.moves++
	}
	s.vacateFor(now, e, e.space.reclaim(), "moved to make room for "+e.job.ID)
	return true
}

func (e *entry) movable(now time.Time, other *entry) bool {
	return e.mode == borrowed && e.job.Checkpointable && !e.job.Urgent && e.moves < moveMax &&
		2*e.job.size() <= other.job.size() && now.Sub(e.started) >= moveMin
}

// victims returns the running entries on the pieces and their size.
func victims(pieces []piece) ([]*entry, int) {
	var out []*entry
	size := 0
	for _, p := range pieces {
		for _, e := range p.node.entries {
			if e.state == running && e.overlaps(p.node, p.mask) && !slices.Contains(out, e) {
				out = append(out, e)
				size += e.job.size()
			}
		}
	}
	return out, size
}

// fitElsewhere reports whether the entries have room now beside the pieces.
func (s *Scheduler) fitElsewhere(now time.Time, pieces []piece, entries []*entry) bool {
	for _, e := range entries {
		rooms := s.baseRooms(now, e, false)
		for _, p := range pieces {
			rooms[p.node.index].mask &^= p.mask
		}
		found, ok := s.finder.find(rooms, e.want())
		if !ok {
			return false
		}
		pieces = append(pieces, found...)
	}
	return true
}
