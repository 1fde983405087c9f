package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
)

const (
	// maxAdviceExecutors limits the executors named in one request. They are enough to choose from, and the response
	// time grows with their number.
	maxAdviceExecutors = 30
	// ticketExpiryMargin is the part of a ticket's validity reserved for delivering the order to the executor.
	ticketExpiryMargin = time.Second
	// adviceRetryDelay is the delay before a request that failed is sent again.
	adviceRetryDelay = 300 * time.Millisecond
)

// adviceCache holds which executors may run a group's step. The policy behind it doesn't change, so a denial holds for
// the lifetime of the executor's incarnation.
type adviceCache struct {
	tickets map[string]ticket
	denied  map[string]bool
	// pending is set while a request is in flight; retryAt delays the next one after a failure.
	pending bool
	retryAt time.Duration
}

// ticket authorizes an executor's incarnation to run a step until it expires.
type ticket struct {
	value     string
	expiresAt time.Duration
}

// AdviceRequest is a request for advice on which executors may run a step.
type AdviceRequest struct {
	// Step is the name of the step: job, occurrence and step number.
	Step string
	// Executors holds the ids of the executors to decide about, Incarnations their incarnations in the same order.
	Executors    []string
	Incarnations []string
	group        *group
}

// Advice is the response to an AdviceRequest.
type Advice struct {
	// Tickets holds the tickets of the executors that may run the step, by executor id.
	Tickets map[string]string
	// Validity is how long the tickets are valid.
	Validity time.Duration
	// Failed reports that the request failed.
	Failed bool
}

// AdviceRequests returns the requests that must be answered before pending tasks of queues that need advice can be
// placed, at most one per step. A request stays in flight until HandleAdvice is called with its response.
func (p *Planner) AdviceRequests(now Instant) []AdviceRequest {
	var adviceRequests []AdviceRequest
	var snap *cellSnapshot
	for _, u := range p.units(p.guaranteedDemand(), now) {
		g := u.group
		if !p.queue(g.job.spec).NeedsAdvice || g.adviceCache.pending || now.BootTime < g.adviceCache.retryAt {
			continue
		}
		if snap == nil {
			snap = p.newSnapshot(now)
		}
		if adviceRequest, ok := p.adviceRequest(snap, g, now); ok {
			g.adviceCache.pending = true
			adviceRequests = append(adviceRequests, adviceRequest)
		}
	}
	return adviceRequests
}

// NeedsAdvice reports whether any queue needs advice.
func (p *Planner) NeedsAdvice() bool {
	return slices.ContainsFunc(p.operations.Config.Queues, func(queue cell.Queue) bool { return queue.NeedsAdvice })
}

// adviceRequest builds a request about the executors that satisfy a group's constraints and whose eligibility is
// unknown, those with the most free resources first. It returns false if there are none, or if an executor that is
// known to be eligible has enough free resources.
func (p *Planner) adviceRequest(snap *cellSnapshot, g *group, now Instant) (AdviceRequest, bool) {
	constraints := p.constraintsOf(g)
	var unknown []*candidate
	for _, c := range snap.candidates {
		if !c.schedulable || !c.satisfies(constraints) || g.adviceCache.denied[c.incarnation] {
			continue
		}
		if g.adviceCache.allows(c.incarnation, now.BootTime) {
			if c.free.Covers(constraints.request) {
				return AdviceRequest{}, false
			}
			continue
		}
		unknown = append(unknown, c)
	}
	if len(unknown) == 0 {
		return AdviceRequest{}, false
	}
	slices.SortStableFunc(unknown, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(y.free.Accelerators, x.free.Accelerators), cmp.Compare(y.free.CPUMillis, x.free.CPUMillis))
	})
	adviceRequest := AdviceRequest{
		Step:  stepName(g),
		group: g,
	}
	for _, c := range unknown[:min(len(unknown), maxAdviceExecutors)] {
		adviceRequest.Executors = append(adviceRequest.Executors, c.state.GetId())
		adviceRequest.Incarnations = append(adviceRequest.Incarnations, c.incarnation)
	}
	return adviceRequest, true
}

// HandleAdvice processes the response to a request.
func (p *Planner) HandleAdvice(adviceRequest AdviceRequest, advice Advice, now Instant) {
	cache := &adviceRequest.group.adviceCache
	cache.pending = false
	p.replan = true
	if advice.Failed {
		cache.retryAt = now.BootTime + adviceRetryDelay
		return
	}
	if cache.tickets == nil {
		cache.tickets = map[string]ticket{}
		cache.denied = map[string]bool{}
	}
	for i, incarnation := range adviceRequest.Incarnations {
		value, ok := advice.Tickets[adviceRequest.Executors[i]]
		if !ok {
			cache.denied[incarnation] = true
			continue
		}
		cache.tickets[incarnation] = ticket{
			value:     value,
			expiresAt: now.BootTime + advice.Validity,
		}
	}
	p.config.Log("advice received", "step", adviceRequest.Step, "asked", len(adviceRequest.Executors),
		"good", len(advice.Tickets),
		"validity", advice.Validity.Milliseconds())
}

// allows reports whether an executor's incarnation holds a ticket that stays valid long enough to order a run there.
func (a *adviceCache) allows(incarnation string, now time.Duration) bool {
	issued, ok := a.tickets[incarnation]
	return ok && now+ticketExpiryMargin < issued.expiresAt
}

// dropTicket removes a ticket that the executor rejected.
func (a *adviceCache) dropTicket(incarnation string) {
	delete(a.tickets, incarnation)
}

func stepName(g *group) string {
	name := g.tasks[0].id.String()
	return name[:strings.LastIndex(name, ".")]
}
