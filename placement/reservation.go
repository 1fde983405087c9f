package placement

import (
	"slices"
	"time"
)

const (
	// minReservationSize is the number of accelerators from which a job that does not fit may hold the reservation: half
	// a worker with eight accelerators. Smaller jobs fit into the accelerators that any ending job frees.
	minReservationSize = 4
	// minMoveRunTime is how long a job has to run before it may be moved; maxMoves is how often it may be moved.
	minMoveRunTime = 30 * time.Second
	maxMoves       = 3
)

// reservation holds the allocations and the start time that the oldest large job that does not fit is expected to get.
type reservation struct {
	trackedJob  *trackedJob
	startAt     time.Time
	heldSince   time.Time
	allocations []allocation
}

// delayedBy reports whether a job that starts now is expected to end after the reservation begins.
func (r *reservation) delayedBy(now time.Time, job *trackedJob) bool {
	return r.trackedJob != nil && r.trackedJob != job && now.Add(job.remainingRunTime()).After(r.startAt)
}

// subtract removes the reserved allocations from the capacities.
func (r *reservation) subtract(capacities []nodeCapacity) {
	for _, alloc := range r.allocations {
		nodeCapacity := &capacities[alloc.node.index]
		nodeCapacity.mask &^= alloc.mask
		nodeCapacity.cores -= r.trackedJob.spec.Cores
		nodeCapacity.memory -= r.trackedJob.spec.Memory
	}
}

func (s *Scheduler) clearReservation() {
	s.reservation = reservation{}
	s.version++
}

// placeReserved tries to place the job with the reservation, before all other jobs that are not urgent.
func (s *Scheduler) placeReserved(now time.Time) {
	job := s.reservation.trackedJob
	if job == nil {
		return
	}
	if job.state != queued {
		s.clearReservation()
		return
	}
	if job.jobClass.unplaceableVersion == s.version && now.Before(s.reservation.startAt) && !s.reservationOverdue(now) {
		return
	}
	if job.jobClass.unplaceableVersion != s.version {
		if s.tryPlace(now, job) || s.tryEvictYielding(now, job) {
			return
		}
		if job == job.jobClass.head() {
			job.jobClass.unplaceableVersion = s.version
		}
	}
	s.plan.placeMissing()
	s.reserve(now, job)
	if s.reservationOverdue(now) {
		s.tryMove(now, job)
	}
}

// reservationOverdue reports whether other jobs may be moved for the reserved job: it has waited for at least
// Config.ReservationPatience and is expected to wait for longer than that again.
func (s *Scheduler) reservationOverdue(now time.Time) bool {
	r := &s.reservation
	return now.Sub(r.heldSince) >= s.config.ReservationPatience && r.startAt.Sub(now) > s.config.ReservationPatience
}

// reserveIfLarge makes the reservation for a large job as soon as it does not fit, so that the jobs tried after it
// respect the reservation.
func (s *Scheduler) reserveIfLarge(now time.Time, job *trackedJob) {
	if s.reservation.trackedJob == nil && job.isLarge() {
		s.reserve(now, job)
	}
}

// reserveOldest gives the reservation to the oldest large job that does not fit.
func (s *Scheduler) reserveOldest(now time.Time) {
	oldest := s.reservation.trackedJob
	for _, ws := range s.order {
		for _, class := range ws.order {
			job := class.head()
			if job.isLarge() && (oldest == nil || job.spec.AcceptedAt.Before(oldest.spec.AcceptedAt)) {
				oldest = job
			}
		}
	}
	if oldest != nil && oldest != s.reservation.trackedJob {
		s.reserve(now, oldest)
	}
}

func (job *trackedJob) isLarge() bool {
	return job.spec.size() >= minReservationSize
}

// reserve computes the earliest time at which running jobs are expected to have freed enough capacity for the job.
func (s *Scheduler) reserve(now time.Time, job *trackedJob) {
	if s.reservation.trackedJob != job {
		s.reservation = reservation{
			trackedJob: job,
			heldSince:  now,
		}
	}
	ends := s.ends(now)
	low, high := 0, len(ends)
	for low < high {
		middle := (low + high) / 2
		if _, ok := s.findPlaceAt(now, job, ends[middle]); ok {
			high = middle
		} else {
			low = middle + 1
		}
	}
	s.reservation.allocations = nil
	s.reservation.startAt = now.Add(time.Hour)
	if low < len(ends) {
		allocations, _ := s.findPlaceAt(now, job, ends[low])
		s.reservation.allocations = append(s.reservation.allocations, allocations...)
		s.reservation.startAt = ends[low]
	}
}

// ends returns the expected end times of the running and evicting jobs, sorted and without duplicates.
func (s *Scheduler) ends(now time.Time) []time.Time {
	var ends []time.Time
	for _, n := range s.cell.nodes {
		for _, job := range n.trackedJobs {
			if job.allocations[0].node == n {
				ends = append(ends, job.ends(now))
			}
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return slices.Compact(ends)
}

// findPlaceAt finds a place for the job, assuming that the running jobs expected to end by that time have ended and
// that those that yield to the reservation have been evicted.
func (s *Scheduler) findPlaceAt(now time.Time, job *trackedJob, at time.Time) ([]allocation, bool) {
	capacities := s.capacitiesAfterEviction(now, job, func(other *trackedJob) bool {
		return other.occupancy == borrowed && other.yields || !other.ends(now).After(at)
	})
	if job.spec.evictable() {
		allocations, ok := s.finder.find(capacities, job.request())
		return allocations, ok
	}
	allocations, ok := s.finder.find(s.restrictToSlots(capacities, job.workspace.slots...), job.guaranteedRequest())
	return allocations, ok
}

// mayYieldTo reports whether a job may run on accelerators that are reserved for another job until that job can start.
// It has to be checkpointable, so that little work is lost, and at most half as large.
func (job *trackedJob) mayYieldTo(other *trackedJob) bool {
	return other != nil && job.spec.Checkpointable && !job.spec.Urgent && 2*job.spec.size() <= other.spec.size()
}

// tryEvictYielding claims a place for the job on accelerators that are free or used by jobs that yield to the
// reservation.
func (s *Scheduler) tryEvictYielding(now time.Time, job *trackedJob) bool {
	if !job.spec.evictable() {
		return false
	}
	yields := func(other *trackedJob) bool { return other.occupancy == borrowed && other.yields }
	return s.claimByEvicting(now, job, yields, job.workspace.reclaimLimit(), "yields to "+job.spec.ID)
}

// tryMove claims a place for the job on accelerators of checkpointable borrowed jobs, if these fit elsewhere now.
// Together they may be at most half as large as the job, so that moved jobs do not cause further moves.
func (s *Scheduler) tryMove(now time.Time, job *trackedJob) bool {
	if !job.spec.evictable() {
		return false
	}
	allocations, ok := s.findByEvicting(now, job, func(other *trackedJob) bool { return other.movableFor(now, job) })
	if !ok {
		return false
	}
	allocations = slices.Clone(allocations)
	victims, size := victims(allocations)
	if 2*size > job.spec.size() || len(victims) == 0 || !s.fitElsewhere(now, allocations, victims) {
		return false
	}
	s.assignPlace(job, allocations)
	s.claim(job)
	for _, victim := range victims {
		victim.moves++
	}
	s.evictFor(now, job, job.workspace.reclaimLimit(), "moved to make room for "+job.spec.ID)
	return true
}

func (job *trackedJob) movableFor(now time.Time, other *trackedJob) bool {
	return job.occupancy == borrowed && job.spec.Checkpointable && !job.spec.Urgent && job.moves < maxMoves &&
		2*job.spec.size() <= other.spec.size() && now.Sub(job.started) >= minMoveRunTime
}

// victims returns the running jobs that overlap the allocations, and their total size in accelerators.
func victims(allocations []allocation) ([]*trackedJob, int) {
	var found []*trackedJob
	size := 0
	for _, alloc := range allocations {
		for _, job := range alloc.node.trackedJobs {
			if job.state == running && job.overlaps(alloc.node, alloc.mask) && !slices.Contains(found, job) {
				found = append(found, job)
				size += job.spec.size()
			}
		}
	}
	return found, size
}

// fitElsewhere reports whether the jobs fit now without using the allocations.
func (s *Scheduler) fitElsewhere(now time.Time, allocations []allocation, jobs []*trackedJob) bool {
	for _, job := range jobs {
		capacities := s.availableCapacities(now, job, false)
		for _, alloc := range allocations {
			capacities[alloc.node.index].mask &^= alloc.mask
		}
		found, ok := s.finder.find(capacities, job.request())
		if !ok {
			return false
		}
		allocations = append(allocations, found...)
	}
	return true
}
