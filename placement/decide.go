package placement

import (
	"container/heap"
	"fmt"
	"time"
)

// Decide returns the decisions to carry out now. The caller carries out every decision or reports its failure with
// Ended.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.now = now
	s.cell.sortNodes()
	s.rampUpZones(now)
	s.expireProtection(now)
	s.plan.placeMissing()
	s.refuseExpired(now)
	s.refuseImpossible(now)
	s.evictDraining(now)
	s.forceOverdueEvictions(now)
	s.startVacatedClaims(now)
	s.placeUrgent(now)
	s.placeReserved(now)
	s.probe(now)
	s.placeQueued(now)
	s.compact(now)
	s.reportWaiting()
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// reportWaiting adds one Wait decision for every new job that was not placed.
func (s *Scheduler) reportWaiting() {
	for _, job := range s.newJobs {
		if job.waitReported || job.ended || job.state != queued {
			continue
		}
		job.waitReported = true
		s.decisions = append(s.decisions, Decision{
			Kind:    Wait,
			Job:     job.spec.ID,
			Reasons: s.explain(job),
		})
	}
	s.newJobs = s.newJobs[:0]
}

// refuseImpossible refuses jobs that were submitted during Config.DiscoveryPeriod and can never run.
func (s *Scheduler) refuseImpossible(now time.Time) {
	if len(s.unvalidated) == 0 || s.firstWorkerAt.IsZero() || now.Sub(s.firstWorkerAt) < s.config.DiscoveryPeriod {
		return
	}
	for _, job := range s.unvalidated {
		if job.ended || job.state != queued {
			continue
		}
		if err := s.checkRunnable(now, job.spec); err != nil {
			s.refuse(job, err.Error())
		}
	}
	s.unvalidated = nil
}

// evictDraining evicts jobs from zones that are out of service and from leaving workers, where the policy and the job
// allow it.
func (s *Scheduler) evictDraining(now time.Time) {
	for _, n := range s.cell.nodes {
		if !n.zoneOutOfService && !n.Leaving {
			continue
		}
		for _, job := range n.trackedJobs {
			switch {
			case job.state != running:
			case n.zoneOutOfService && !s.zones[n.Zone].Finish && job.spec.evictable():
				s.evict(now, job, job.workspace.reclaimLimit(), "availability zone "+n.Zone+" is out of service")
			case n.Leaving && job.spec.Checkpointable:
				s.evict(now, job, job.workspace.reclaimLimit(), "worker "+n.ID+" is leaving")
			}
		}
	}
}

// refuseExpired refuses queued jobs whose deadline has passed.
func (s *Scheduler) refuseExpired(now time.Time) {
	for len(s.deadlines) > 0 && s.deadlines[0].spec.StartDeadline.Before(now) {
		job := heap.Pop(&s.deadlines).(*trackedJob)
		if !job.ended && job.state == queued {
			s.refuse(job, "not started before its deadline")
		}
	}
}

// fairShare returns the share of a workspace in the accelerators in service, as a number of accelerators.
func (s *Scheduler) fairShare(ws *workspace) float64 {
	totalShares, accelerators := 0, 0
	for _, other := range s.order {
		if other.inPolicy {
			totalShares += max(other.Share, 1)
		}
	}
	for _, n := range s.cell.nodes {
		if n.inService() {
			accelerators += n.Accelerators
		}
	}
	share := max(ws.Share, 1)
	if !ws.inPolicy {
		totalShares += share
	}
	return max(float64(accelerators)*float64(share)/float64(max(totalShares, 1)), 1)
}

// nextClass returns the ready class with the lowest rank, or nil.
func (s *Scheduler) nextClass(now time.Time, fairShare map[*workspace]float64) *jobClass {
	var best *jobClass
	lowestRank := 0.0
	for _, ws := range s.order {
		if len(ws.ready) == 0 {
			continue
		}
		class := ws.ready[0]
		job := class.head()
		rank := ws.rank(job, fairShare[ws], now.Sub(job.spec.AcceptedAt), s.config.WaitBonusPeriod)
		if best == nil || rank < lowestRank || rank == lowestRank && queuedBefore(job, best.head()) {
			best, lowestRank = class, rank
		}
	}
	return best
}

// refuse ends a queued job.
func (s *Scheduler) refuse(job *trackedJob, reasons ...string) {
	if job.jobClass != nil {
		job.workspace.remove(job)
	}
	s.forget(job)
	s.decisions = append(s.decisions, Decision{
		Kind:    Refuse,
		Job:     job.spec.ID,
		Reasons: reasons,
	})
}

// placeQueued places queued jobs until the first job of every class does not fit.
func (s *Scheduler) placeQueued(now time.Time) {
	fairShare := make(map[*workspace]float64, len(s.order))
	for _, ws := range s.order {
		fairShare[ws] = s.fairShare(ws)
		ws.prepareReady(s.version)
	}
	for {
		class := s.nextClass(now, fairShare)
		if class == nil {
			break
		}
		s.placeHead(now, class)
		class.workspace.advanceReady(s.version)
	}
	s.reserveOldest(now)
}

// placeHead places the first job of a class or marks the class as unplaceable.
func (s *Scheduler) placeHead(now time.Time, class *jobClass) {
	job := class.head()
	if class.workspace.knownUnplaceable(job, s.version) {
		class.unplaceableVersion = s.version
		return
	}
	if s.tryPlace(now, job) {
		return
	}
	class.workspace.markUnplaceable(job, s.version)
	s.reserveIfLarge(now, job)
}

// placeUrgent places urgent jobs of workspaces within their share.
func (s *Scheduler) placeUrgent(now time.Time) {
	for _, ws := range s.order {
		for _, class := range ws.urgent() {
			for class.unplaceableVersion != s.version && len(class.jobs) > 0 && s.withinShare(class.head()) {
				if !s.tryPlace(now, class.head()) {
					class.unplaceableVersion = s.version
				}
			}
		}
	}
}

// expireProtection ends the protection of reclaimed slots that their workspace has not used for
// Config.ReclaimProtection.
func (s *Scheduler) expireProtection(now time.Time) {
	for _, slot := range s.plan.slots {
		if !slot.protectedUntil.IsZero() && !now.Before(slot.protectedUntil) {
			slot.protectedUntil = time.Time{}
			s.changed()
		}
	}
}

// urgent returns the classes of urgent jobs.
func (ws *workspace) urgent() []*jobClass {
	var classes []*jobClass
	for _, class := range ws.order {
		if class.attributes.urgent {
			classes = append(classes, class)
		}
	}
	return classes
}

// rampUpZones spreads the times at which the workers of a zone that has returned to service accept jobs again over
// Config.ZoneRampPeriod. When a worker's time is reached, jobs and slots that did not fit are tried again.
func (s *Scheduler) rampUpZones(now time.Time) {
	for _, z := range s.cell.zones {
		for i, n := range s.cell.nodes[z.start:z.end] {
			if n.rampPending {
				n.rampPending = false
				n.acceptsFrom = now.Add(s.config.ZoneRampPeriod * time.Duration(i) / time.Duration(z.end-z.start))
			}
		}
	}
	for _, n := range s.cell.nodes {
		if !n.acceptsFrom.IsZero() && !now.Before(n.acceptsFrom) {
			n.acceptsFrom = time.Time{}
			s.changed()
		}
	}
}

// Explain returns why a job waits, or its state if it does not wait.
func (s *Scheduler) Explain(id string) []string {
	job, ok := s.trackedJobs[id]
	if !ok {
		return []string{"not known"}
	}
	s.cell.sortNodes()
	return s.explain(job)
}

func (s *Scheduler) explain(job *trackedJob) []string {
	switch job.state {
	case running:
		return []string{"running"}
	case evicting:
		return []string{"being stopped and placed again"}
	case claiming:
		return []string{"waits for borrowers to leave its place"}
	case queued:
	}
	if job.jobClass.explainedVersion != s.version {
		job.jobClass.explainedVersion = s.version
		job.jobClass.reasons = s.describeObstacles(job)
	}
	if s.reservation.trackedJob == job {
		return append([]string{fmt.Sprintf("next to start, expected at %s",
			s.reservation.startAt.UTC().Format(time.RFC3339))}, job.jobClass.reasons...)
	}
	return job.jobClass.reasons
}

// deadlineHeap orders jobs by deadline. Ended jobs are removed when they reach the top.
type deadlineHeap []*trackedJob

func (h *deadlineHeap) add(job *trackedJob) { heap.Push(h, job) }

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, k int) bool {
	return h[i].spec.StartDeadline.Before(h[k].spec.StartDeadline)
}
func (h deadlineHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*trackedJob)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	*h = (*h)[:last]
	return job
}
