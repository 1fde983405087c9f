package placement

import (
	"slices"
	"time"
)

// charge charges the allocations of a job to the guaranteed slots of its workspace and pins these slots.
func (s *Scheduler) charge(job *trackedJob) {
	job.occupancy = guaranteed
	for _, alloc := range job.allocations {
		alloc.node.charged |= alloc.charge
	}
	for _, slot := range job.workspace.slots {
		if slices.ContainsFunc(job.allocations, func(alloc allocation) bool {
			return slot.contains(alloc.node, alloc.charge)
		}) {
			s.plan.pin(slot)
			job.slots = append(job.slots, slot)
			if !slot.protectedUntil.IsZero() {
				slot.protectedUntil = s.now.Add(s.config.ReclaimProtection)
			}
		}
	}
}

// moveOutOfGuarantee removes the charge of a running job. The job continues as borrowed, or as immovable if it cannot
// be evicted.
func (s *Scheduler) moveOutOfGuarantee(job *trackedJob) {
	if job.occupancy != guaranteed {
		return
	}
	s.undoCharge(job)
	if !job.spec.evictable() {
		job.occupancy = immovable
		job.markImmovable()
	}
}

// undoCharge removes the charge of a job, if it has one, and its pin on the slots. The job then counts as borrowed.
func (s *Scheduler) undoCharge(job *trackedJob) {
	if job.occupancy != guaranteed {
		return
	}
	for i, alloc := range job.allocations {
		alloc.node.charged &^= alloc.charge
		job.allocations[i].charge = 0
	}
	for _, slot := range job.slots {
		s.plan.unpin(slot)
	}
	job.slots = nil
	job.occupancy = borrowed
}

// allocate takes the accelerators, cores and memory of a job on its nodes.
func (s *Scheduler) allocate(job *trackedJob) {
	for _, alloc := range job.allocations {
		alloc.node.free &^= alloc.mask
		alloc.node.freeCores -= job.spec.Cores
		alloc.node.freeMemory -= job.spec.Memory
		alloc.node.addJob(job)
	}
	job.workspace.usedAccelerators += job.spec.size()
}

// start places a job on its allocations and adds the Place decision.
func (s *Scheduler) start(now time.Time, job *trackedJob, reasons ...string) {
	s.allocate(job)
	job.state = running
	job.started = now
	job.yields = false
	if s.reservation.trackedJob == job {
		s.clearReservation()
	}
	s.decisions = append(s.decisions, Decision{
		Kind:     Place,
		Job:      job.spec.ID,
		Members:  job.assignments(),
		Borrowed: job.occupancy == borrowed,
		Reasons:  reasons,
	})
}

// deallocate frees the accelerators, cores and memory of a running or evicting job.
func (s *Scheduler) deallocate(job *trackedJob) {
	for _, alloc := range job.allocations {
		alloc.node.free |= alloc.mask
		alloc.node.freeCores += job.spec.Cores
		alloc.node.freeMemory += job.spec.Memory
		alloc.node.removeJob(job)
		if job.occupancy == immovable {
			alloc.node.immovable &^= alloc.mask
		}
		if alloc.node.health.probeJob == job.spec.ID {
			alloc.node.health.probeJob = ""
		}
	}
	s.undoCharge(job)
	job.workspace.usedAccelerators -= job.spec.size()
	if job.state == evicting {
		s.evictions = slices.DeleteFunc(s.evictions, func(other *trackedJob) bool { return other == job })
	}
	job.state = queued
	job.occupancy = borrowed
	job.allocations = nil
	s.changed()
}

// claim holds the allocations of a job until their occupants have stopped. The job is no longer in the queue.
func (s *Scheduler) claim(job *trackedJob) {
	job.state = claiming
	for _, alloc := range job.allocations {
		alloc.node.claimed |= alloc.mask
		alloc.node.claimedCores += job.spec.Cores
		alloc.node.claimedMemory += job.spec.Memory
	}
	job.workspace.usedAccelerators += job.spec.size()
	s.claims = append(s.claims, job)
	if s.reservation.trackedJob == job {
		s.clearReservation()
	}
}

// abandonClaim gives up the allocations of a claiming job. Afterwards, the job is neither in the queue nor running.
func (s *Scheduler) abandonClaim(job *trackedJob) {
	s.releaseClaim(job)
	s.undoCharge(job)
	job.allocations = nil
	job.occupancy = borrowed
	s.changed()
}

// releaseClaim frees the resources held by claim and leaves the charge unchanged.
func (s *Scheduler) releaseClaim(job *trackedJob) {
	for _, alloc := range job.allocations {
		alloc.node.claimed &^= alloc.mask
		alloc.node.claimedCores -= job.spec.Cores
		alloc.node.claimedMemory -= job.spec.Memory
	}
	job.workspace.usedAccelerators -= job.spec.size()
	s.claims = slices.DeleteFunc(s.claims, func(other *trackedJob) bool { return other == job })
}

// startVacatedClaims starts the jobs whose claimed allocations have become free, and requeues those whose allocations
// include a node out of service.
func (s *Scheduler) startVacatedClaims(now time.Time) {
	for _, job := range slices.Clone(s.claims) {
		if slices.ContainsFunc(job.allocations, func(alloc allocation) bool { return !alloc.node.inService() }) {
			s.abandonClaim(job)
			s.requeue(job)
			continue
		}
		if !claimVacated(job) {
			continue
		}
		s.releaseClaim(job)
		s.start(now, job, "its place has been vacated")
	}
}

// claimVacated reports whether the resources claimed for a job are free.
func claimVacated(job *trackedJob) bool {
	for _, alloc := range job.allocations {
		cores, memory := 0, int64(0)
		for _, other := range job.allocations {
			if other.node == alloc.node {
				cores += job.spec.Cores
				memory += job.spec.Memory
			}
		}
		if alloc.node.free&alloc.mask != alloc.mask || alloc.node.freeCores < cores || alloc.node.freeMemory < memory {
			return false
		}
	}
	return true
}

// abandonClaimsOn abandons the claims on a node and requeues their jobs.
func (s *Scheduler) abandonClaimsOn(n *node) {
	for _, job := range slices.Clone(s.claims) {
		if slices.ContainsFunc(job.allocations, func(alloc allocation) bool { return alloc.node == n }) {
			s.abandonClaim(job)
			s.requeue(job)
		}
	}
}

// evict requests that a running job stops within the limit. For a job that is already being evicted, it does nothing
// unless the new deadline is earlier.
func (s *Scheduler) evict(now time.Time, job *trackedJob, limit time.Duration, reason string) {
	if job.state == evicting && !now.Add(limit).Before(job.evictionDeadline) {
		return
	}
	checkpoint := job.spec.Checkpointable
	s.markEvicting(job, now, limit)
	s.decisions = append(s.decisions, Decision{
		Kind:       Evict,
		Job:        job.spec.ID,
		Members:    job.assignments(),
		Borrowed:   job.occupancy == borrowed,
		Checkpoint: checkpoint,
		Limit:      limit,
		Reasons:    []string{reason},
	})
}

func (s *Scheduler) markEvicting(job *trackedJob, now time.Time, limit time.Duration) {
	if job.state != evicting {
		s.evictions = append(s.evictions, job)
	}
	job.state = evicting
	job.limit = limit
	job.evictionDeadline = now.Add(limit)
}

// forceOverdueEvictions repeats the evictions that have passed their deadline, without a checkpoint and with a limit of
// zero. It repeats them at intervals of the original limit until Ended is called.
func (s *Scheduler) forceOverdueEvictions(now time.Time) {
	for _, job := range s.evictions {
		if job.limit <= 0 || now.Before(job.evictionDeadline) {
			continue
		}
		job.evictionDeadline = now.Add(job.limit)
		s.decisions = append(s.decisions, Decision{
			Kind:     Evict,
			Job:      job.spec.ID,
			Members:  job.assignments(),
			Borrowed: job.occupancy == borrowed,
			Limit:    0,
			Reasons:  []string{"not stopped within its limit"},
		})
	}
}

// placedJobs returns the running, evicting and claiming jobs in a deterministic order.
func (s *Scheduler) placedJobs() []*trackedJob {
	placed := slices.Clone(s.claims)
	for _, n := range s.cell.nodes {
		for _, job := range n.trackedJobs {
			if job.allocations[0].node == n {
				placed = append(placed, job)
			}
		}
	}
	return placed
}
