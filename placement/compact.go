package placement

import "time"

const (
	// compactionInterval is the minimum time between two searches for a job to move; each moves at most one job.
	compactionInterval = 10 * time.Second
	// minCompactionGain is the minimum growth of the largest free shape, in accelerators, that justifies a move.
	minCompactionGain = 8
)

// compact moves one checkpointable borrowed job if that makes the largest free shape grow by at least
// minCompactionGain. It does nothing during evictions, nor while a large job waits, because tryMove makes room for that
// job.
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

// compactable reports whether a job may be moved to make room for larger shapes: it has run long enough and is
// expected to run long enough after the move.
func (job *trackedJob) compactable(now time.Time) bool {
	elapsed := now.Sub(job.started)
	return job.occupancy == borrowed && job.state == running && job.spec.Checkpointable && !job.spec.Urgent &&
		job.moves < maxMoves && elapsed >= minMoveRunTime && job.runTimeBound-job.savedRunTime-elapsed >= minMoveRunTime
}

// largestFreeShape returns the largest free shape in accelerators, counting the accelerators in freed as free and
// those in taken as used. A shape is a run on one worker or all idle workers of one rack.
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
