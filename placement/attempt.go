package placement

import (
	"math/bits"
	"slices"
	"time"
)

// availableCapacities returns what is free for a job now, without claimed resources. With backfill, the reserved
// allocations count as used unless the job is expected to end before the reservation begins or may yield to it.
func (s *Scheduler) availableCapacities(now time.Time, job *trackedJob, backfill bool) []nodeCapacity {
	s.capacities = s.capacities[:0]
	excludeReserved := backfill && s.reservation.delayedBy(now, job) && !job.mayYieldTo(s.reservation.trackedJob)
	for _, n := range s.cell.nodes {
		capacity := nodeCapacity{}
		if n.accepts(now) && !job.failedOn(n) {
			capacity.schedulable = true
			capacity.mask = n.free &^ n.claimed
			capacity.cores = n.freeCores - n.claimedCores
			capacity.memory = n.freeMemory - n.claimedMemory
			capacity.penalized = n.plan
		}
		s.capacities = append(s.capacities, capacity)
	}
	if excludeReserved {
		s.reservation.subtract(s.capacities)
	}
	s.excludeProtected(now, job)
	return s.capacities
}

// excludeProtected removes the slots that other workspaces reclaimed recently from the capacities. Without it, a
// workspace with many short jobs evicts a large borrower for every few of them.
func (s *Scheduler) excludeProtected(now time.Time, job *trackedJob) {
	for _, slot := range s.plan.slots {
		if slot.workspace == job.workspace || !now.Before(slot.protectedUntil) {
			continue
		}
		for _, alloc := range slot.allocations {
			s.capacities[alloc.node.index].mask &^= alloc.mask
		}
	}
}

// restrictToSlots restricts capacities to the uncharged accelerators of the slots.
func (s *Scheduler) restrictToSlots(capacities []nodeCapacity, slots ...*guaranteedSlot) []nodeCapacity {
	slotMasks := make([]uint64, len(capacities))
	for _, slot := range slots {
		for _, alloc := range slot.allocations {
			slotMasks[alloc.node.index] |= alloc.mask
		}
	}
	for i, n := range s.cell.nodes {
		capacities[i].mask &= slotMasks[i] &^ n.charged
		capacities[i].penalized = slotMasks[i] &^ n.pinned
		capacities[i].schedulable = capacities[i].schedulable && capacities[i].mask != 0
	}
	return capacities
}

// candidateSlots returns the sets of slots in which a job may run, in order of preference: slots with jobs, then
// floating slots of its own shape or else the smallest ones that can hold it. A job may not break up a larger slot
// while a smaller one is unused. A job that fits in no single slot may use several together.
func (ws *workspace) candidateSlots(j Job) [][]*guaranteedSlot {
	if ws.unchargedAccelerators() < j.size() {
		return nil
	}
	var candidates [][]*guaranteedSlot
	var combined []*guaranteedSlot
	for _, slot := range ws.slots {
		if !slot.placed() || slot.jobs == 0 {
			continue
		}
		combined = append(combined, slot)
		if slot.canHold(j) {
			candidates = append(candidates, []*guaranteedSlot{slot})
		}
	}
	floatingSlots := ws.floatingSlots(j)
	for _, slot := range floatingSlots {
		candidates = append(candidates, []*guaranteedSlot{slot})
	}
	if len(floatingSlots) == 0 && !slices.ContainsFunc(ws.slots, func(slot *guaranteedSlot) bool {
		return slot.canHold(j)
	}) {
		return append(candidates, ws.slots)
	}
	if combined = append(combined, floatingSlots...); len(combined) > 1 {
		candidates = append(candidates, combined)
	}
	return candidates
}

// unchargedAccelerators counts the accelerators of the workspace's slots that no job is charged for.
func (ws *workspace) unchargedAccelerators() int {
	total := 0
	for _, slot := range ws.slots {
		for _, alloc := range slot.allocations {
			total += popcount(alloc.mask &^ alloc.node.charged)
		}
	}
	return total
}

// floatingSlots returns the floating slots of the job's own shape, or else the smallest ones that can hold it.
func (ws *workspace) floatingSlots(j Job) []*guaranteedSlot {
	var matching []*guaranteedSlot
	for _, slot := range ws.slots {
		if slot.jobs > 0 || !slot.placed() || !slot.canHold(j) {
			continue
		}
		if slot.shape == j.shape() && (len(matching) == 0 || matching[0].shape != slot.shape) {
			matching = matching[:0]
		}
		if len(matching) == 0 || matching[0].shape == slot.shape ||
			matching[0].shape != j.shape() && matching[0].shape.size() == slot.shape.size() {
			matching = append(matching, slot)
		}
	}
	return matching
}

// tryPlace places a job now, or claims a place that evictions will free.
func (s *Scheduler) tryPlace(now time.Time, job *trackedJob) bool {
	if len(job.workspace.slots) > 0 && (s.tryGuarantee(now, job) || s.tryMoveSlot(now, job)) {
		return true
	}
	if job.spec.evictable() && s.tryBorrow(now, job) {
		return true
	}
	if len(job.workspace.slots) > 0 && s.tryReclaim(now, job) {
		return true
	}
	return job.spec.Urgent && job.spec.evictable() && s.tryPreempt(now, job)
}

// tryGuarantee places a job on free accelerators of its workspace's slots.
func (s *Scheduler) tryGuarantee(now time.Time, job *trackedJob) bool {
	for _, slots := range job.workspace.candidateSlots(job.spec) {
		capacities := s.restrictToSlots(s.availableCapacities(now, job, false), slots...)
		allocations, ok := s.finder.find(capacities, job.guaranteedRequest())
		if !ok {
			continue
		}
		s.startGuaranteed(now, job, allocations)
		return true
	}
	return false
}

func (s *Scheduler) startGuaranteed(now time.Time, job *trackedJob, allocations []allocation) {
	s.assignPlace(job, allocations)
	s.charge(job)
	s.start(now, job, "within the guarantee")
}

// tryMoveSlot places a job on free accelerators and moves a floating slot of its workspace there.
func (s *Scheduler) tryMoveSlot(now time.Time, job *trackedJob) bool {
	slots := job.workspace.floatingSlots(job.spec)
	if len(slots) == 0 {
		return false
	}
	capacities := s.availableCapacities(now, job, true)
	for i, n := range s.cell.nodes {
		capacities[i].mask &^= n.pinned | n.immovable
		capacities[i].penalized = 0
	}
	allocations, ok := s.finder.find(capacities, job.guaranteedRequest())
	if !ok {
		return false
	}
	allocations = append([]allocation(nil), allocations...)
	for _, slot := range slots {
		if !s.plan.moveToCover(slot, allocations) {
			continue
		}
		s.startGuaranteed(now, job, allocations)
		return true
	}
	return false
}

// tryBorrow places a job on free accelerators beyond the guarantee.
func (s *Scheduler) tryBorrow(now time.Time, job *trackedJob) bool {
	allocations, ok := s.finder.find(s.availableCapacities(now, job, true), job.request())
	if !ok {
		return false
	}
	yields := s.reservation.delayedBy(now, job)
	s.assignPlace(job, allocations)
	s.start(now, job, "beyond the guarantee")
	job.yields = yields
	return true
}

// tryReclaim claims uncharged accelerators of the workspace's slots and evicts the borrowers there.
func (s *Scheduler) tryReclaim(now time.Time, job *trackedJob) bool {
	limit := job.workspace.reclaimLimit()
	if job.spec.Urgent {
		limit = min(limit, s.config.Urgent)
	}
	for _, slots := range job.workspace.candidateSlots(job.spec) {
		capacities := s.capacitiesAfterEviction(now, job, func(other *trackedJob) bool { return other.occupancy == borrowed })
		capacities = s.restrictToSlots(capacities, slots...)
		for i, n := range s.cell.nodes {
			capacities[i].penalized = n.all &^ n.free
		}
		req := job.guaranteedRequest()
		req.penaltyWeight = evictionPenalty
		allocations, ok := s.finder.find(capacities, req)
		if !ok {
			continue
		}
		s.assignPlace(job, allocations)
		s.charge(job)
		s.claim(job)
		s.evictFor(now, job, limit, "workspace "+job.workspace.Name+" reclaims its guarantee")
		for _, slot := range job.slots {
			slot.protectedUntil = now.Add(s.config.ReclaimProtection)
		}
		return true
	}
	return false
}

// tryPreempt claims a place for an urgent job on accelerators that are free or used by borrowed jobs that are not
// urgent, as long as the workspace stays within its share.
func (s *Scheduler) tryPreempt(now time.Time, job *trackedJob) bool {
	if !s.withinShare(job) {
		return false
	}
	preemptible := func(other *trackedJob) bool { return other.occupancy == borrowed && !other.spec.Urgent }
	return s.claimByEvicting(now, job, preemptible, s.config.Urgent, "urgent job "+job.spec.ID)
}

// claimByEvicting claims a place for the job and evicts the jobs there, for which mayEvict has to hold, within the
// limit.
func (s *Scheduler) claimByEvicting(
	now time.Time, job *trackedJob, mayEvict func(*trackedJob) bool, limit time.Duration, reason string,
) bool {
	allocations, ok := s.findByEvicting(now, job, mayEvict)
	if !ok {
		return false
	}
	s.assignPlace(job, allocations)
	s.claim(job)
	s.evictFor(now, job, limit, reason)
	return true
}

// findByEvicting finds a place for the job on accelerators that are free or used by jobs for which mayEvict holds. It
// prefers free ones.
func (s *Scheduler) findByEvicting(
	now time.Time, job *trackedJob, mayEvict func(*trackedJob) bool,
) ([]allocation, bool) {
	capacities := s.capacitiesAfterEviction(now, job, mayEvict)
	for i, n := range s.cell.nodes {
		capacities[i].penalized = n.all &^ n.free
	}
	req := job.request()
	req.penaltyWeight = evictionPenalty
	return s.finder.find(capacities, req)
}

// capacitiesAfterEviction returns what would be free without the jobs for which mayEvict holds. Jobs that are already
// being evicted count as gone.
func (s *Scheduler) capacitiesAfterEviction(
	now time.Time, job *trackedJob, mayEvict func(*trackedJob) bool,
) []nodeCapacity {
	capacities := s.availableCapacities(now, job, false)
	for i, n := range s.cell.nodes {
		if !n.accepts(now) || job.failedOn(n) {
			continue
		}
		for _, other := range n.trackedJobs {
			if other.state == evicting || mayEvict(other) {
				capacities[i].addAllocations(other, n)
			}
		}
		capacities[i].mask &^= n.claimed
	}
	return capacities
}

// addAllocations adds what a job uses on a node.
func (capacity *nodeCapacity) addAllocations(job *trackedJob, n *node) {
	for _, alloc := range job.allocations {
		if alloc.node == n {
			capacity.mask |= alloc.mask
			capacity.cores += job.spec.Cores
			capacity.memory += job.spec.Memory
		}
	}
}

// assignPlace removes a job from the queue and sets its allocations.
func (s *Scheduler) assignPlace(job *trackedJob, allocations []allocation) {
	job.allocations = append(job.allocations[:0], allocations...)
	job.workspace.remove(job)
}

// evictFor evicts jobs to free the allocations of a claim: first those on its accelerators, then borrowed jobs until
// cores and memory suffice, the last started first.
func (s *Scheduler) evictFor(now time.Time, job *trackedJob, limit time.Duration, reason string) {
	for _, alloc := range job.allocations {
		for _, other := range alloc.node.trackedJobs {
			if other.overlaps(alloc.node, alloc.mask) {
				s.evict(now, other, limit, reason)
			}
		}
	}
	for _, alloc := range job.allocations {
		for i := len(alloc.node.trackedJobs) - 1; i >= 0 && alloc.node.lacksCapacity(); i-- {
			if other := alloc.node.trackedJobs[i]; other.occupancy == borrowed && other.state == running {
				s.evict(now, other, limit, reason)
			}
		}
	}
}

// lacksCapacity reports whether cores or memory do not suffice for the claims once all current evictions are complete.
func (n *node) lacksCapacity() bool {
	capacity := nodeCapacity{
		cores:  n.freeCores - n.claimedCores,
		memory: n.freeMemory - n.claimedMemory,
	}
	for _, job := range n.trackedJobs {
		if job.state == evicting {
			capacity.addAllocations(job, n)
		}
	}
	return capacity.cores < 0 || capacity.memory < 0
}

// canHold reports whether the slot is large enough for the job.
func (slot *guaranteedSlot) canHold(j Job) bool {
	charge := max(j.Accelerators, 1)
	if slot.placed() {
		charge = slot.allocations[0].node.charge(j)
	}
	return slot.shape.memberCapacity(j.Scope, charge) >= j.Members
}

// reclaimLimit returns the time within which borrowers have to leave the slots of the workspace.
func (ws *workspace) reclaimLimit() time.Duration {
	const defaultLimit = 10 * time.Second
	if ws.Reclaim > 0 {
		return ws.Reclaim
	}
	return defaultLimit
}

// withinShare reports whether the workspace stays within its fair share with one more job.
func (s *Scheduler) withinShare(job *trackedJob) bool {
	return float64(job.workspace.usedAccelerators+job.spec.size()) <= s.fairShare(job.workspace)
}

// popcount returns the number of accelerators in a mask.
func popcount(mask uint64) int {
	return bits.OnesCount64(mask)
}
