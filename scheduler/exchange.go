package scheduler

import "context"

// exchange passes a request to the goroutine of a term and waits for the answer; false if the term or ctx ends first.
func exchange[Request, Answer any](
	ctx context.Context, t *term, requests chan<- Request, request Request, answers <-chan Answer,
) (Answer, bool) {
	var none Answer
	select {
	case requests <- request:
	case <-t.done:
		return none, false
	case <-ctx.Done():
		return none, false
	}
	select {
	case answer := <-answers:
		return answer, true
	case <-t.done:
		return none, false
	case <-ctx.Done():
		return none, false
	}
}
