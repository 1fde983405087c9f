package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxWait bounds the wait parameter; load balancers usually close idle requests after a minute.
	maxWait = 55 * time.Second
	// baseCallTimeout bounds a call in addition to its wait: an append to the log may take 2 s and is retried.
	baseCallTimeout = 5 * time.Second
)

// callContext returns the context of a call and a function that releases it. If the call waits, the context also ends
// when the server ends waits, with the cause ErrShuttingDown; a call without a wait is short and runs to completion.
func (s *Server) callContext(r *http.Request, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := s.config.Clock.AfterFunc(wait+baseCallTimeout, func() { cancel(context.DeadlineExceeded) })
	stop := func() bool { return true }
	if wait > 0 {
		stop = context.AfterFunc(s.waitsCtx, func() { cancel(ErrShuttingDown) })
	}
	return ctx, func() {
		timer.Stop()
		stop()
		cancel(context.Canceled)
	}
}

// currentStatus returns the status of a job after its wait was interrupted by a shutdown.
func (s *Server) currentStatus(r *http.Request, workspace, id string) (Status, error) {
	ctx, cancel := context.WithTimeout(r.Context(), baseCallTimeout)
	defer cancel()
	return s.config.Lookup(ctx, workspace, id, 0)
}

// reserveWait takes one of the slots for waiting calls and returns the wait and a function that frees the slot. The
// returned wait is 0 if no slot is free or the server is shutting down.
func (s *Server) reserveWait(wait time.Duration) (time.Duration, func()) {
	if wait == 0 || s.waitsCtx.Err() != nil {
		return 0, func() {}
	}
	select {
	case s.waitSlots <- struct{}{}:
		return wait, func() { <-s.waitSlots }
	default:
		return 0, func() {}
	}
}

// parseWait returns the wait parameter, capped at maxWait. Its error is a Findings.
func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, Findings{
			{
				Field:   "wait",
				Problem: fmt.Sprintf("is %q, must be a time like 30s", text),
			},
		}
	}
	return min(wait, maxWait), nil
}
