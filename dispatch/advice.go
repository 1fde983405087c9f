package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
)

const (
	// maxAdviceExecutors limits the executors named in one question. They are enough to choose from, and the response
	// time grows with their number.
	maxAdviceExecutors = 30
	// ticketExpiryMargin is the part of a ticket's validity reserved for delivering the order to the executor.
	ticketExpiryMargin = time.Second
	// adviceRetryDelay is the delay before an unanswered question is asked again.
	adviceRetryDelay = 300 * time.Millisecond
)

// adviceCache holds which executors may run a group's step. The policy behind it doesn't change, so a denial holds for
// the lifetime of the executor's incarnation.
type adviceCache struct {
	tickets map[string]ticket
	denied  map[string]bool
	// pending is set while a question is in flight; retryAt delays the next one after a failure.
	pending bool
	retryAt time.Duration
}

// ticket authorizes an executor's incarnation to run a step until it expires.
type ticket struct {
	value     string
	expiresAt time.Duration
}

// Question asks which executors may run a step.
type Question struct {
	// Step is the name of the step: job, occurrence and step number.
	Step string
	// Executors holds the ids of the executors in question, Incarnations their incarnations in the same order.
	Executors    []string
	Incarnations []string
	group        *group
}

// Advice answers a Question.
type Advice struct {
	// Tickets holds the tickets of the executors that may run the step, by executor id.
	Tickets map[string]string
	// Validity is how long the tickets are valid.
	Validity time.Duration
	// Failed reports that the question was not answered.
	Failed bool
}

// Questions returns the questions that must be answered before pending tasks of advised queues can be placed, at most
// one per step. A question stays in flight until SetAdvice is called with its answer.
func (p *Planner) Questions(now Instant) []Question {
	var questions []Question
	var snap *cellSnapshot
	for _, u := range p.units(p.guaranteedDemand(), now) {
		g := u.group
		if !p.queue(g.job.spec).Advised || g.adviceCache.pending || now.Boot < g.adviceCache.retryAt {
			continue
		}
		if snap == nil {
			snap = p.newSnapshot(now)
		}
		if question, ok := p.question(snap, g, now); ok {
			g.adviceCache.pending = true
			questions = append(questions, question)
		}
	}
	return questions
}

// Advised reports whether any queue has a policy that restricts which executors may run its steps.
func (p *Planner) Advised() bool {
	return slices.ContainsFunc(p.operations.Config.Queues, func(queue cell.Queue) bool { return queue.Advised })
}

// question builds a question about the executors that satisfy a group's constraints and whose eligibility is unknown,
// those with the most free resources first. It returns false if an executor that is known to be eligible has enough
// free resources.
func (p *Planner) question(snap *cellSnapshot, g *group, now Instant) (Question, bool) {
	constraints := p.constraintsOf(g)
	var unknown []*candidate
	for _, c := range snap.candidates {
		if !c.schedulable || !c.satisfies(constraints) || g.adviceCache.denied[c.incarnation] {
			continue
		}
		if g.adviceCache.allows(c.incarnation, now.Boot) {
			if c.free.covers(constraints.request) {
				return Question{}, false
			}
			continue
		}
		unknown = append(unknown, c)
	}
	if len(unknown) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(unknown, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(y.free.accelerators, x.free.accelerators), cmp.Compare(y.free.cpuMillis, x.free.cpuMillis))
	})
	question := Question{
		Step:  stepName(g),
		group: g,
	}
	for _, c := range unknown[:min(len(unknown), maxAdviceExecutors)] {
		question.Executors = append(question.Executors, c.state.GetId())
		question.Incarnations = append(question.Incarnations, c.incarnation)
	}
	return question, true
}

// SetAdvice records the answer to a question.
func (p *Planner) SetAdvice(question Question, answer Advice, now Instant) {
	cache := &question.group.adviceCache
	cache.pending = false
	p.replan = true
	if answer.Failed {
		cache.retryAt = now.Boot + adviceRetryDelay
		return
	}
	if cache.tickets == nil {
		cache.tickets = map[string]ticket{}
		cache.denied = map[string]bool{}
	}
	for i, incarnation := range question.Incarnations {
		value, ok := answer.Tickets[question.Executors[i]]
		if !ok {
			cache.denied[incarnation] = true
			continue
		}
		cache.tickets[incarnation] = ticket{
			value:     value,
			expiresAt: now.Boot + answer.Validity,
		}
	}
	p.config.Log("advice received", "step", question.Step, "asked", len(question.Executors), "good", len(answer.Tickets),
		"validity", answer.Validity.Milliseconds())
}

// allows reports whether an executor's incarnation holds a ticket that stays valid long enough to order a run there.
func (a *adviceCache) allows(incarnation string, now time.Duration) bool {
	issued, ok := a.tickets[incarnation]
	return ok && now+ticketExpiryMargin < issued.expiresAt
}

// dropTicket forgets a ticket that the executor refused.
func (a *adviceCache) dropTicket(incarnation string) {
	delete(a.tickets, incarnation)
}

func stepName(g *group) string {
	name := g.tasks[0].id.String()
	return name[:strings.LastIndex(name, ".")]
}
