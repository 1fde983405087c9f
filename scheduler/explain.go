package scheduler

import (
	"context"

	"radishpath.example/radishpath/cell/cellpb"
)

// explainRequest is a request for an explanation that waits for the goroutine of a term.
type explainRequest struct {
	request *cellpb.Explain
	answer  chan *cellpb.Explanation
}

// Explain returns what would become of a job; false if this process isn't the cell's active scheduler.
func (s *Scheduler) Explain(ctx context.Context, request *cellpb.Explain) (*cellpb.Explanation, bool) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return nil, false
	}
	pending := &explainRequest{
		request: request,
		answer:  make(chan *cellpb.Explanation, 1),
	}
	return exchange(ctx, t, t.explainRequests, pending, pending.answer)
}
