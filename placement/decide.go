package placement

import (
	"container/heap"
	"fmt"
	"time"
)

// Decide returns what is to be done now. The caller carries out every decision or reports its failure with Ended.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.now = now
	s.cell.sortNodes()
	s.wake(now)
	s.cool(now)
	s.plan.complete()
	s.expire(now)
	s.checkWaiting(now)
	s.drain(now)
	s.repeatEvictions(now)
	s.finishClaims(now)
	s.serveUrgent(now)
	s.serveReserved(now)
	s.probe(now)
	s.serve(now)
	s.compact(now)
	s.answerFresh()
	out := s.out
	s.out = nil
	return out
}

// answerFresh gives one wait decision to every new job that was not placed.
func (s *Scheduler) answerFresh() {
	for _, e := range s.fresh {
		if e.told || e.ended || e.state != queued {
			continue
		}
		e.told = true
		s.out = append(s.out, Decision{
			Kind:    Wait,
			Job:     e.job.ID,
			Reasons: s.explain(e),
		})
	}
	s.fresh = s.fresh[:0]
}

// checkWaiting refuses jobs that were accepted before the workers were known and can never run.
func (s *Scheduler) checkWaiting(now time.Time) {
	if len(s.unchecked) == 0 || s.first.IsZero() || now.Sub(s.first) < s.config.Settle {
		return
	}
	for _, e := range s.unchecked {
		if e.ended || e.state != queued {
			continue
		}
		if err := s.runnable(now, e.job); err != nil {
			s.refuse(e, err.Error())
		}
	}
	s.unchecked = nil
}

// drain evicts the work of zones that are out of service and of leaving workers, where it may be evicted.
func (s *Scheduler) drain(now time.Time) {
	for _, n := range s.cell.nodes {
		if !n.zoneOut && !n.Leaving {
			continue
		}
		for _, e := range n.entries {
			switch {
			case e.state != running:
			case n.zoneOut && !s.zones[n.Zone].Finish && e.job.evictable():
				s.evict(now, e, e.space.reclaim(), "availability zone "+n.Zone+" is out of service")
			case n.Leaving && e.job.Checkpointable:
				s.evict(now, e, e.space.reclaim(), "worker "+n.ID+" is leaving")
			}
		}
	}
}

// expire refuses jobs whose latest start has passed.
func (s *Scheduler) expire(now time.Time) {
	for len(s.deadlines) > 0 && s.deadlines[0].job.Deadline.Before(now) {
		e := heap.Pop(&s.deadlines).(*entry)
		if !e.ended && e.state == queued {
			s.refuse(e, "not started before its deadline")
		}
	}
}

// fair returns the number of accelerators that are a workspace's share of the cell.
func (s *Scheduler) fair(sp *space) float64 {
	total, all := 0, 0
	for _, other := range s.order {
		if other.listed {
			total += max(other.Share, 1)
		}
	}
	for _, n := range s.cell.nodes {
		if n.inService() {
			all += n.Accelerators
		}
	}
	share := max(sp.Share, 1)
	if !sp.listed {
		total += share
	}
	return max(float64(all)*float64(share)/float64(max(total, 1)), 1)
}

// next returns the class whose first job is to be tried next.
func (s *Scheduler) next(now time.Time, fair map[*space]float64) *class {
	var best *class
	least := 0.0
	for _, sp := range s.order {
		if len(sp.ready) == 0 {
			continue
		}
		c := sp.ready[0]
		e := c.head()
		rank := sp.rank(e, fair[sp], now.Sub(e.job.Accepted), s.config.Age)
		if best == nil || rank < least || rank == least && before(e, best.head()) {
			best, least = c, rank
		}
	}
	return best
}

// refuse ends a queued job.
func (s *Scheduler) refuse(e *entry, reasons ...string) {
	if e.class != nil {
		e.space.remove(e)
	}
	s.drop(e)
	s.out = append(s.out, Decision{
		Kind:    Refuse,
		Job:     e.job.ID,
		Reasons: reasons,
	})
}

// serve places queued jobs until the first job of every class was refused.
func (s *Scheduler) serve(now time.Time) {
	fair := make(map[*space]float64, len(s.order))
	for _, sp := range s.order {
		fair[sp] = s.fair(sp)
		sp.prepare(s.version)
	}
	for {
		c := s.next(now, fair)
		if c == nil {
			break
		}
		s.serveHead(now, c)
		c.space.advance(s.version)
	}
	s.reserveOldest(now)
}

// serveHead places the first job of a class or marks the class as refused.
func (s *Scheduler) serveHead(now time.Time, c *class) {
	e := c.head()
	if c.space.hopeless(e, s.version) {
		c.refused = s.version
		return
	}
	if s.try(now, e) {
		return
	}
	c.space.refuse(e, s.version)
	s.considerReserving(now, e)
}

// serveUrgent places urgent jobs of workspaces within their share before everything else.
func (s *Scheduler) serveUrgent(now time.Time) {
	for _, sp := range s.order {
		for _, c := range sp.urgent() {
			for c.refused != s.version && len(c.jobs) > 0 && s.withinShare(c.head()) {
				if !s.try(now, c.head()) {
					c.refused = s.version
				}
			}
		}
	}
}

// cool lets others use reclaimed places again that their workspace has not used for a while.
func (s *Scheduler) cool(now time.Time) {
	for _, u := range s.plan.units {
		if !u.warm.IsZero() && !now.Before(u.warm) {
			u.warm = time.Time{}
			s.changed()
		}
	}
}

// urgent lists the classes of urgent jobs.
func (sp *space) urgent() []*class {
	var out []*class
	for _, c := range sp.order {
		if c.shape.urgent {
			out = append(out, c)
		}
	}
	return out
}

// wake spreads the workers of a returning zone over the ramp and brings back those whose time has come.
func (s *Scheduler) wake(now time.Time) {
	for _, z := range s.cell.zones {
		for i, n := range s.cell.nodes[z.first:z.last] {
			if n.returning {
				n.returning = false
				n.ramp = now.Add(s.config.Ramp * time.Duration(i) / time.Duration(z.last-z.first))
			}
		}
	}
	for _, n := range s.cell.nodes {
		if !n.ramp.IsZero() && !now.Before(n.ramp) {
			n.ramp = time.Time{}
			s.changed()
		}
	}
}

// Explain returns why a job waits, or what it does otherwise.
func (s *Scheduler) Explain(id string) []string {
	e, ok := s.entries[id]
	if !ok {
		return []string{"not known"}
	}
	s.cell.sortNodes()
	return s.explain(e)
}

func (s *Scheduler) explain(e *entry) []string {
	switch e.state {
	case running:
		return []string{"running"}
	case evicting:
		return []string{"being stopped and placed again"}
	case claiming:
		return []string{"waits for borrowers to leave its place"}
	case queued:
	}
	if e.class.explained != s.version {
		e.class.explained = s.version
		e.class.reasons = s.obstacles(e)
	}
	if s.reservation.entry == e {
		return append([]string{fmt.Sprintf("next to start, expected at %s",
			s.reservation.at.UTC().Format(time.RFC3339))}, e.class.reasons...)
	}
	return e.class.reasons
}

// deadlineHeap orders entries by deadline; cancelled ones are dropped when they come up.
type deadlineHeap []*entry

func (h *deadlineHeap) add(e *entry) { heap.Push(h, e) }

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].job.Deadline.Before(h[k].job.Deadline) }
func (h deadlineHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
