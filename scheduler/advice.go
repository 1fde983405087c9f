package scheduler

import (
	"context"

	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/recovery"
)

// adviceResult is the response of the advice service to one request.
type adviceResult struct {
	adviceRequest dispatch.AdviceRequest
	advice        dispatch.Advice
}

// requestAdvice sends the next request to the advice service unless one is in flight.
func (t *term) requestAdvice(ctx context.Context, now dispatch.Instant) {
	if t.config.RequestAdvice == nil || t.adviceInFlight || !t.planner.NeedsAdvice() {
		return
	}
	if len(t.pendingAdviceRequests) == 0 {
		t.pendingAdviceRequests = t.planner.AdviceRequests(now)
	}
	if len(t.pendingAdviceRequests) == 0 {
		return
	}
	adviceRequest := t.pendingAdviceRequests[0]
	t.pendingAdviceRequests = t.pendingAdviceRequests[1:]
	t.adviceInFlight = true
	go func() {
		result := adviceResult{
			adviceRequest: adviceRequest,
			advice: dispatch.Advice{
				Failed: true,
			},
		}
		// The result of a request that panicked is that of one that failed.
		_ = recovery.Run(t.config.Logger, t.config.Metrics, "advice", func() error {
			result = t.fetchAdvice(ctx, adviceRequest)
			return nil
		})
		t.adviceResult <- result
	}()
}

func (t *term) fetchAdvice(ctx context.Context, adviceRequest dispatch.AdviceRequest) adviceResult {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, validity, err := t.config.RequestAdvice(ctx, adviceRequest.Step, adviceRequest.Executors)
	if err != nil {
		t.config.Logger.Warn("advice request failed",
			"step", adviceRequest.Step, "executors", len(adviceRequest.Executors), "error", err)
	}
	return adviceResult{
		adviceRequest: adviceRequest,
		advice: dispatch.Advice{
			Tickets:  tickets,
			Validity: validity,
			Failed:   err != nil,
		},
	}
}
