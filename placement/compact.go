package placement

import "time"

const (
	// compactEvery bounds moves to one in that time.
	compactEvery = 10 * time.Second
	// compactGain is the growth of the largest free shape, in accelerators, that a move is worth.
	compactGain = 8
)

// compact moves one checkpointable borrowed job when that makes the largest free adjacent shape grow by a worker. It
// does nothing while a large job waits, for which tryMove looks.
func (s *Scheduler) compact(now time.Time) {
	if now.Sub(s.compacted) < compactEvery || s.reservation.entry != nil || len(s.evictions) > 0 {
		return
	}
	s.compacted = now
	var best *entry
	most := s.largestFree(nil, nil) + compactGain - 1
	for range s.cell.nodes {
		s.compactFrom = (s.compactFrom + 1) % len(s.cell.nodes)
		n := s.cell.nodes[s.compactFrom]
		for _, e := range n.entries {
			if e.pieces[0].node != n || !e.compactable(now) {
				continue
			}
			pieces, ok := s.finder.find(s.baseRooms(now, e, false), e.want())
			if !ok {
				continue
			}
			if size := s.largestFree(e.pieces, pieces); size > most {
				best, most = e, size
			}
		}
		if best != nil {
			break
		}
	}
	if best != nil {
		best.moves++
		s.evict(now, best, best.space.reclaim(), "moved to make room for larger shapes")
	}
}

// compactable reports whether a job may be moved for larger shapes: it has run and will run long enough.
func (e *entry) compactable(now time.Time) bool {
	elapsed := now.Sub(e.started)
	return e.mode == borrowed && e.state == running && e.job.Checkpointable && !e.job.Urgent && e.moves < moveMax &&
		elapsed >= moveMin && e.bound-e.done-elapsed >= moveMin
}

// largestFree returns the largest free adjacent shape, in accelerators, with some pieces freed and others taken.
func (s *Scheduler) largestFree(freed, taken []piece) int {
	most := 0
	for _, rack := range s.cell.racks {
		whole := 0
		for _, n := range s.cell.nodes[rack.first:rack.last] {
			if !n.inService() {
				continue
			}
			open := n.free
			for _, p := range freed {
				if p.node == n {
					open |= p.mask
				}
			}
			for _, p := range taken {
				if p.node == n {
					open &^= p.mask
				}
			}
			if open == n.all {
				whole += n.Accelerators
			}
			for most < n.Accelerators && starts(open, most+1) != 0 {
				most++
			}
		}
		most = max(most, whole)
	}
	return most
}
