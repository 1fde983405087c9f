package scheduler

import (
	"context"

	"radishpath.example/radishpath/dispatch"
)

// adviceResult is the answer of the advice service to one question.
type adviceResult struct {
	question dispatch.Question
	answer   dispatch.Advice
}

// requestAdvice sends the next question to the advice service unless one is in flight.
func (t *term) requestAdvice(ctx context.Context, now dispatch.Instant) {
	if t.config.Advise == nil || t.adviceInFlight || !t.planner.Advised() {
		return
	}
	if len(t.pendingQuestions) == 0 {
		t.pendingQuestions = t.planner.Questions(now)
	}
	if len(t.pendingQuestions) == 0 {
		return
	}
	question := t.pendingQuestions[0]
	t.pendingQuestions = t.pendingQuestions[1:]
	t.adviceInFlight = true
	go func() { t.adviceResult <- t.fetchAdvice(ctx, question) }()
}

func (t *term) fetchAdvice(ctx context.Context, question dispatch.Question) adviceResult {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, validity, err := t.config.Advise(ctx, question.Step, question.Executors)
	if err != nil {
		t.config.Logger.Warn("advice request failed",
			"step", question.Step, "executors", len(question.Executors), "error", err)
	}
	return adviceResult{
		question: question,
		answer: dispatch.Advice{
			Tickets:  tickets,
			Validity: validity,
			Failed:   err != nil,
		},
	}
}
