package placement

import (
	"fmt"
	"slices"
	"time"
)

// Restore records a job that was found running after a change of the active scheduler. Members on unknown workers are
// ignored, so the workers have to be added with SetWorker first.
func (s *Scheduler) Restore(now time.Time, j Job, members []Assignment) {
	if existing, ok := s.trackedJobs[j.ID]; ok {
		if existing.state != queued {
			return
		}
		existing.workspace.remove(existing)
		s.forget(existing)
	}
	s.cell.sortNodes()
	job := s.trackJob(now, j.normalized())
	for _, member := range members {
		if n, ok := s.cell.byID[member.Worker]; ok {
			job.allocations = append(job.allocations, allocation{
				node: n,
				mask: member.Accelerators & n.all,
			})
		}
	}
	job.started = now
	job.state = running
	job.waitReported = true
	s.allocate(job)
	for _, alloc := range job.allocations {
		s.abandonOverlappingClaims(alloc)
	}
	if !j.evictable() {
		job.occupancy = immovable
		job.markImmovable()
	}
	s.tryCharge(job)
	if job.occupancy == immovable {
		s.displaceOverlappingSlots(job)
	}
	s.changed()
}

// displaceSlot removes a slot from the plan. Running jobs in it continue as borrowed or immovable; claiming jobs are
// queued again.
func (s *Scheduler) displaceSlot(slot *guaranteedSlot) {
	for _, job := range s.placedJobs() {
		if !slices.Contains(job.slots, slot) {
			continue
		}
		if job.state == claiming {
			s.abandonClaim(job)
			s.requeue(job)
			continue
		}
		s.moveOutOfGuarantee(job)
	}
	s.plan.unplace(slot)
}

// abandonOverlappingClaims abandons the claims on a node if any of them overlaps an allocation.
func (s *Scheduler) abandonOverlappingClaims(alloc allocation) {
	if alloc.node.claimed&alloc.mask != 0 {
		s.abandonClaimsOn(alloc.node)
	}
}

// displaceOverlappingSlots displaces the slots that overlap the allocations of an immovable job.
func (s *Scheduler) displaceOverlappingSlots(job *trackedJob) {
	for _, slot := range s.plan.slots {
		if slices.ContainsFunc(job.allocations, func(alloc allocation) bool {
			return slot.contains(alloc.node, alloc.mask)
		}) {
			s.displaceSlot(slot)
		}
	}
}

// clearNode abandons the claims and displaces the slots on a node that goes out of service.
func (s *Scheduler) clearNode(n *node) {
	s.abandonClaimsOn(n)
	for _, slot := range s.plan.slots {
		if slot.contains(n, n.all) {
			s.displaceSlot(slot)
		}
	}
	s.changed()
}

// chargeRunningJobs charges running jobs to slots again after the slots changed. Immovable jobs come first.
func (s *Scheduler) chargeRunningJobs() {
	for _, currentOccupancy := range []occupancy{immovable, borrowed} {
		for _, job := range s.placedJobs() {
			if job.state == running && job.occupancy == currentOccupancy {
				s.tryCharge(job)
			}
		}
		s.plan.placeMissing()
	}
}

// markImmovable makes the plan avoid the allocations of the job.
func (job *trackedJob) markImmovable() {
	for _, alloc := range job.allocations {
		alloc.node.immovable |= alloc.mask
	}
}

func (job *trackedJob) clearImmovable() {
	for _, alloc := range job.allocations {
		alloc.node.immovable &^= alloc.mask
	}
}

// tryCharge charges a running job to the slots of its workspace if they cover its allocations or can be moved to cover
// them.
func (s *Scheduler) tryCharge(job *trackedJob) {
	previousOccupancy := job.occupancy
	if previousOccupancy == immovable {
		job.clearImmovable()
	}
	if s.chargeIfCovered(job) {
		return
	}
	if previousOccupancy == immovable {
		job.markImmovable()
	}
}

func (s *Scheduler) chargeIfCovered(job *trackedJob) bool {
	allocations := slices.Clone(job.allocations)
	if len(allocations) == 0 || !assignCharges(job.spec, allocations) {
		return false
	}
	if !job.workspace.covers(allocations) && !s.moveSlotToCover(job, allocations) {
		return false
	}
	job.allocations = allocations
	s.charge(job)
	return true
}

// assignCharges sets the charge of each allocation of a running job. It reports whether all of them can be charged.
func assignCharges(j Job, allocations []allocation) bool {
	ok := true
	for i, alloc := range allocations {
		allocations[i].charge, ok = alloc.node.findChargedRun(j, alloc.mask)
		if !ok {
			break
		}
		alloc.node.charged |= allocations[i].charge
	}
	for _, alloc := range allocations {
		alloc.node.charged &^= alloc.charge
	}
	return ok
}

func (s *Scheduler) moveSlotToCover(job *trackedJob, allocations []allocation) bool {
	return slices.ContainsFunc(job.workspace.slots, func(slot *guaranteedSlot) bool {
		return slot.jobs == 0 && slot.canHold(job.spec) && s.plan.moveToCover(slot, allocations)
	})
}

// covers reports whether the slots of the workspace contain all charges.
func (ws *workspace) covers(required []allocation) bool {
	for _, alloc := range required {
		var slotMask uint64
		for _, slot := range ws.slots {
			for _, planned := range slot.allocations {
				if planned.node == alloc.node {
					slotMask |= planned.mask
				}
			}
		}
		if alloc.charge&^slotMask != 0 {
			return false
		}
	}
	return len(required) > 0
}

// findChargedRun returns a run with the length of the member's charge that contains its accelerators and is not
// charged for another job.
func (n *node) findChargedRun(j Job, mask uint64) (uint64, bool) {
	length := n.charge(j)
	if !n.inService() {
		return 0, false
	}
	for bit := 0; bit+length <= n.Accelerators; bit++ {
		run := lowMask(length) << bit
		if run&mask == mask && run&n.charged == 0 {
			return run, true
		}
	}
	return 0, false
}

// setZones updates which zones are in service.
func (s *Scheduler) setZones(zones []Zone) {
	s.zones = map[string]Zone{}
	for _, z := range zones {
		s.zones[z.Name] = z
	}
	for _, n := range s.cell.nodes {
		outOfService := s.zoneOutOfService(n.Zone)
		if outOfService == n.zoneOutOfService {
			continue
		}
		n.zoneOutOfService = outOfService
		n.rampPending = !outOfService
		if outOfService {
			s.clearNode(n)
		}
	}
}

// updateWorker updates a worker whose zone, rack and number of accelerators are unchanged.
func (s *Scheduler) updateWorker(n *node, w Worker) {
	n.freeCores += w.Cores - n.Cores
	n.freeMemory += w.Memory - n.Memory
	startsLeaving := w.Leaving && !n.Leaving
	n.Worker = w
	s.cell.knownCache = nil
	if startsLeaving {
		s.cell.sortNodes()
		s.clearNode(n)
	}
	s.changed()
}

// removeAllocationsOn removes the allocations of all jobs on a node that is being removed.
func (s *Scheduler) removeAllocationsOn(n *node) {
	s.cell.sortNodes()
	s.clearNode(n)
	for _, job := range slices.Clone(n.trackedJobs) {
		if job.occupancy == immovable {
			job.clearImmovable()
		}
		n.removeJob(job)
		job.allocations = slices.DeleteFunc(job.allocations, func(alloc allocation) bool { return alloc.node == n })
		if job.occupancy == immovable {
			job.markImmovable()
		}
	}
}

func (s *Scheduler) zoneOutOfService(name string) bool {
	z, ok := s.zones[name]
	return ok && !z.In
}

// recordFailure handles the failure of a member on a worker. The job is queued again on other workers if it is
// idempotent and has failed on fewer than maxFailedWorkers. Otherwise it ends, and if it failed on that many workers,
// these failures do not count against them.
func (s *Scheduler) recordFailure(now time.Time, job *trackedJob, result Result) {
	if n, ok := s.cell.byID[result.FailedWorker]; ok &&
		n.health.recordFailure(now, job.spec.ID, s.config.InitialProbeInterval) {
		s.cell.sortNodes()
		s.clearNode(n)
	}
	if !job.probe && !slices.Contains(job.failedWorkers, result.FailedWorker) {
		job.failedWorkers = append(job.failedWorkers, result.FailedWorker)
		job.reasons = append(job.reasons, fmt.Sprintf("failed on %s: %s", result.FailedWorker, result.Reason))
	}
	if job.ended || !job.spec.Idempotent {
		s.forget(job)
		return
	}
	if len(job.failedWorkers) < maxFailedWorkers {
		s.requeue(job)
		return
	}
	for _, id := range job.failedWorkers {
		if n, ok := s.cell.byID[id]; ok {
			s.changedIf(n.health.removeFailure(job.spec.ID))
		}
	}
	s.forget(job)
	s.decisions = append(s.decisions, Decision{
		Kind:    Refuse,
		Job:     job.spec.ID,
		Reasons: job.reasons,
	})
}

// probe starts one idempotent job on each quarantined worker whose probe interval is over.
func (s *Scheduler) probe(now time.Time) {
	for _, n := range s.cell.nodes {
		h := &n.health
		if !h.quarantined || h.probeJob != "" || now.Before(h.nextProbe) || n.zoneOutOfService || n.Leaving {
			continue
		}
		if job := s.assignProbeJob(n); job != nil {
			job.probe = true
			h.probeJob = job.spec.ID
			s.start(now, job, "probe of quarantined worker "+n.ID)
		}
	}
}

// assignProbeJob assigns a queued idempotent job that fits to the node, and returns nil if there is none.
func (s *Scheduler) assignProbeJob(n *node) *trackedJob {
	capacities := make([]nodeCapacity, len(s.cell.nodes))
	capacities[n.index] = nodeCapacity{
		schedulable: true,
		mask:        n.free &^ n.claimed,
		cores:       n.freeCores - n.claimedCores,
		memory:      n.freeMemory - n.claimedMemory,
	}
	for _, ws := range s.order {
		for _, class := range ws.order {
			job := class.head()
			if !job.spec.Idempotent || job.spec.Urgent || job.failedOn(n) {
				continue
			}
			if allocations, ok := s.finder.find(capacities, job.request()); ok {
				s.assignPlace(job, allocations)
				return job
			}
		}
	}
	return nil
}
