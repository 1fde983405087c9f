package agent

import (
	"context"
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// errNoAnswer means that a request was not answered in time, or not at all.
var errNoAnswer = errors.New("no answer")

// startRequests are the requests for one start that are in flight.
type startRequests struct {
	results  chan startResult
	inFlight int
}

// startResult is the result of one request for a start.
type startResult struct {
	attempt startAttempt
	err     error
}

// start sends a start to the executor until its outcome is known or the scheduler no longer orders it. If there is no
// answer within repeatDelay, it waits for an inventory that was requested later and sends another request: the run may
// be listed there, and a request without it could reach the next incarnation of the executor. The earlier requests stay
// in flight, since the executor may be slow to answer each.
func (c *Controller) start(ctx context.Context, current *incarnation, key run, order *cellpb.Start) {
	defer c.orderFinished(current, key, true)
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests := startRequests{
		results: make(chan startResult),
	}
	// unanswered is set once an earlier request, perhaps of an earlier process of this agent, may still take effect.
	unanswered, failedAt := order.GetResent(), time.Duration(0)
	for {
		attempt := c.prepareStart(current, key, failedAt)
		wait := orderRetryDelay
		switch {
		case !attempt.ordered || attempt.listed || ctx.Err() != nil:
			return
		case attempt.draining:
			c.rejectStart(ctx, current, key, "draining", unanswered)
			return
		case attempt.verified:
			wait = repeatDelay
			c.sendStart(requestCtx, &requests, key, order, attempt)
		}
		if result, ok := c.awaitStart(ctx, &requests, wait); ok {
			c.applyStartResult(ctx, current, key, result, unanswered)
			return
		}
		if attempt.verified {
			unanswered, failedAt = true, c.requireInventory(current)
			c.config.Logger.Warn("start request failed; retrying", "task", key.task, "run", key.run, "error", errNoAnswer)
		}
	}
}

// sendStart sends a request for a start in the background.
func (c *Controller) sendStart(
	ctx context.Context, requests *startRequests, key run, order *cellpb.Start, attempt startAttempt,
) {
	requests.inFlight++
	c.orders.Go(func() {
		result := startResult{
			attempt: attempt,
			err:     c.requestStart(ctx, key, order, attempt),
		}
		select {
		case requests.results <- result:
		case <-ctx.Done():
		}
	})
}

// awaitStart waits for an answer to one of the requests for a start, at most for a duration, and reports whether there
// is one. It returns early once no request is left that may be answered.
func (c *Controller) awaitStart(
	ctx context.Context, requests *startRequests, duration time.Duration,
) (startResult, bool) {
	timeout := c.config.Clock.After(duration)
	for {
		select {
		case result := <-requests.results:
			requests.inFlight--
			if !errors.Is(result.err, cell.ErrOutcomeUnknown) {
				return result, true
			}
			if requests.inFlight == 0 {
				return startResult{}, false
			}
		case <-timeout:
			return startResult{}, false
		case <-ctx.Done():
			return startResult{}, false
		}
	}
}

// applyStartResult handles the answer to a request for a start. unanswered is set if other requests for it may still
// take effect.
func (c *Controller) applyStartResult(
	ctx context.Context, current *incarnation, key run, result startResult, unanswered bool,
) {
	rejected := &cell.OrderRejectedError{}
	switch {
	case result.err == nil:
		c.config.Logger.Info("run started", "task", key.task, "run", key.run,
			"until", result.attempt.deadline.Milliseconds(), "fence", result.attempt.fence)
		c.started(current, key)
	case errors.As(result.err, &rejected):
		c.config.Logger.Info("executor rejected start", "task", key.task, "run", key.run, "reason", rejected.Reason)
		if rejected.Reason != reasonFence {
			c.rejectStart(ctx, current, key, rejected.Reason, unanswered)
		}
	default:
		c.config.Logger.Warn("start request failed", "task", key.task, "run", key.run, "error", result.err)
	}
}

// startAttempt is what decides whether a request for a start is sent, and with which limits.
type startAttempt struct {
	// ordered is set while the scheduler orders the start at this incarnation.
	ordered  bool
	draining bool
	// listed is set if the inventory holds the run, so that it needs no request.
	listed bool
	// verified is set unless a hold or an earlier request failed and no later inventory was read.
	verified bool
	executor string
	deadline time.Duration
	fence    int64
}

// prepareStart returns the next attempt of a start. failedAt is when the last request failed; 0 if none did.
func (c *Controller) prepareStart(current *incarnation, key run, failedAt time.Duration) startAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := startAttempt{
		ordered:  current.ordered[key] && !current.replaced,
		draining: current.executor.GetDraining(),
		listed:   current.isListed(key),
		verified: !current.unverified && (failedAt == 0 || current.requestedAt >= failedAt),
		executor: current.executor.GetId(),
		deadline: min(current.earliestClock(c.config.BootTime.Now())+maxStartDelay, current.leases.limit),
		fence:    c.fence(current).Token(),
	}
	if !attempt.draining {
		// The deadline is also a lease.
		current.leases = current.leases.withRequest(attempt.deadline)
	}
	return attempt
}

func (c *Controller) requestStart(
	ctx context.Context, key run, order *cellpb.Start, attempt startAttempt,
) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.config.Executor.Start(ctx, cell.TaskStart{
		Executor:      attempt.executor,
		Task:          key.task,
		Run:           key.run,
		Spec:          order.GetSpec(),
		Checkpoint:    order.GetCheckpoint(),
		Ticket:        order.GetTicket(),
		StartDeadline: attempt.deadline,
		Fence:         attempt.fence,
	})
}

// requireInventory ends the pending hold, so that a start that has just been left unanswered can be repeated as soon as
// the executor answers the next one. It returns the current time.
func (c *Controller) requireInventory(current *incarnation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	current.unansweredAt = c.config.BootTime.Now()
	if c.incarnation == current {
		c.endPendingHold()
	}
	return current.unansweredAt
}
