package placement

import "time"

const (
	// compactEvery bounds moves to one in that time.
	compactionInterval = 10 * time.Second
	// compactGain is the growth of the largest free shape, in accelerators, that a move is worth.
	minCompactionGain = 8
)

// compact moves one checkpointable borrowed job when that makes the largest free adjacent shape grow by a worker. It
// does nothing while a large job waits, for which tryMove looks.
func (s *Scheduler) compact(now time.Time) {
	if now.Sub(s.lastCompaction) < compactionInterval || s.reservation.trackedJob != nil || len(s.evictions) > 0 {
		return
	}
	s.lastCompaction = now
	var best *trackedJob
	largest := s.largestFreeShape(nil, nil) + minCompactionGain - 1
	for range s.cell.nodes {
		s.compactionCursor = (s.compactionCursor + 1) % len(s.cell.nodes)
		n := s.cell.nodes[s.compactionCursor]
		for _, job := range n.trackedJobs {
			if job.allocations[0].node != n || !job.compactable(now) {
				continue
			}
			allocations, ok := s.finder.find(s.availableCapacities(now, job, false), job.request())
			if !ok {
				continue
			}
			if size := s.largestFreeShape(job.allocations, allocations); size > largest {
				best, largest = job, size
			}
		}
		if best != nil {
			break
		}
	}
	if best != nil {
		best.moves++
		s.evict(now, best, best.workspace.reclaimLimit(), "moved to make room for larger shapes")
	}
}

// compactable reports whether a job may be moved for larger shapes: it has run and will run long enough.
func (job *trackedJob) compactable(now time.Time) bool {
	elapsed := now.Sub(job.started)
	return job.occupancy == borrowed && job.state == running && job.spec.Checkpointable && !job.spec.Urgent &&
		job.moves < maxMoves && elapsed >= minMoveRunTime && job.runTimeBound-job.savedRunTime-elapsed >= minMoveRunTime
}

// largestFree returns the largest free adjacent shape, in accelerators, with some pieces freed and others taken.
func (s *Scheduler) largestFreeShape(freed, taken []allocation) int {
	largest := 0
	for _, rack := range s.cell.racks {
		idleAccelerators := 0
		for _, n := range s.cell.nodes[rack.start:rack.end] {
			if !n.inService() {
				continue
			}
			available := n.free
			for _, alloc := range freed {
				if alloc.node == n {
					available |= alloc.mask
				}
			}
			for _, alloc := range taken {
				if alloc.node == n {
					available &^= alloc.mask
				}
			}
			if available == n.all {
				idleAccelerators += n.Accelerators
			}
			for largest < n.Accelerators && runStarts(available, largest+1) != 0 {
				largest++
			}
		}
		largest = max(largest, idleAccelerators)
	}
	return largest
}
