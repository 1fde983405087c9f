package agent

import (
	"context"
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
)

func (c *Controller) holdLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		unanswered := c.confirmCandidates(ctx)
		if ctx.Err() != nil {
			return
		}
		hold, current, ok := c.nextHold()
		if !ok {
			c.sleep(ctx, c.holdSignal, c.idleWait(unanswered))
			continue
		}
		if failures > 0 || unanswered {
			hold = withoutWait(hold)
		}
		requestedAt := c.config.BootTime.Now()
		inventory, err := c.requestHold(ctx, hold)
		if errors.Is(err, errHoldOutdated) {
			continue
		}
		if err != nil {
			failures++
			if failures == 1 && ctx.Err() == nil {
				c.config.Logger.Warn("hold request to executor failed; retrying", "executor", hold.Executor, "error", err)
			}
			c.recordHoldFailure(current, requestedAt, failures, err)
			c.sleep(ctx, c.holdSignal, orderRetryDelay)
			continue
		}
		if failures > 0 {
			c.config.Logger.Info("hold request to executor succeeded after retries",
				"executor", hold.Executor, "failures", failures)
		}
		failures = 0
		c.recordHoldResponse(current, requestedAt)
		c.applyInventory(current, hold, inventory, requestedAt)
		if unanswered {
			c.sleep(ctx, c.holdSignal, orderRetryDelay)
		}
	}
}

// withoutWait returns a hold for an executor that has left one unanswered. It may have restarted; its new incarnation
// must not drop ends by the old one's numbers.
func withoutWait(hold cell.HoldRequest) cell.HoldRequest {
	hold.Wait, hold.RecordedEnd = 0, 0
	return hold
}

// idleWait returns how long to wait while no hold is due.
func (c *Controller) idleWait(unanswered bool) time.Duration {
	if unanswered {
		return orderRetryDelay
	}
	return idleHoldWait
}

// errHoldOutdated ends a pending hold because the next one is due: one with a higher fence, or one that a start waits
// for.
var errHoldOutdated = errors.New("the next hold is due")

// requestHold sends a hold. It returns errHoldOutdated if the next one is due before the executor answers.
func (c *Controller) requestHold(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, hold.Wait+orderTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	c.setPendingHold(end, hold.Fence)
	inventory, err := repeatUntilAnswered(ctx, c, hold.Wait+repeatDelay,
		func(ctx context.Context, attempt int) (cell.Inventory, error) {
			if attempt > 0 {
				return c.config.Executor.Hold(ctx, withoutWait(hold))
			}
			return c.config.Executor.Hold(ctx, hold)
		})
	if err != nil && errors.Is(context.Cause(ctx), errHoldOutdated) {
		return cell.Inventory{}, errHoldOutdated
	}
	return inventory, err
}

// setPendingHold records how to end the pending hold, and ends it at once if its fence is outdated already.
func (c *Controller) setPendingHold(end context.CancelCauseFunc, fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHold = end
	if c.unconfirmed.untried || cell.ParseExecutorFence(fence).Generation < c.incarnation.generation {
		end(errHoldOutdated)
	}
}

// endPendingHold ends the pending hold, so that the next one doesn't wait for its answer. The caller holds the mutex.
func (c *Controller) endPendingHold() {
	if c.endHold != nil {
		c.endHold(errHoldOutdated)
	}
	notify(c.holdSignal)
}

// nextHold returns the next hold for the executor; false while no live incarnation is known.
func (c *Controller) nextHold() (cell.HoldRequest, *incarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation == nil || c.incarnation.executor.GetGone() {
		return cell.HoldRequest{}, nil, false
	}
	if c.incarnation.replaced {
		return cell.HoldRequest{
			Executor: c.incarnation.executor.GetId(),
			Fence:    c.fence(c.incarnation).Token(),
		}, c.incarnation, !c.incarnation.successorFenced
	}
	hold := cell.HoldRequest{
		Executor:    c.incarnation.executor.GetId(),
		Fence:       c.fence(c.incarnation).Token(),
		RecordedEnd: c.incarnation.droppableEnd(),
		LeaseEnd:    c.incarnation.nextLeaseEnd(),
		Wait:        idleHoldWait,
	}
	c.incarnation.leases = c.incarnation.leases.withRequest(hold.LeaseEnd)
	switch {
	case c.incarnation.fence != c.fence(c.incarnation) || c.incarnation.hasUnconfirmedOrders() ||
		c.incarnation.requestedAt < c.incarnation.unansweredAt:
		// The scheduler or an order waits for this response.
		hold.Wait = 0
	case len(c.incarnation.starting) > 0:
		hold.Wait = startHoldWait
	case len(c.incarnation.inventory.Running) > 0:
		hold.Wait = busyHoldWait
	}
	return hold, c.incarnation, true
}

// applyInventory applies the response to a hold, unless the executor has restarted.
func (c *Controller) applyInventory(
	current *incarnation, hold cell.HoldRequest, inventory cell.Inventory, requestedAt time.Duration,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != current {
		return
	}
	if current.replaced {
		current.successorFenced = true
		return
	}
	if !isInventoryOf(inventory, current.executor) {
		// The executor restarted under the same id, and its next heartbeat describes the new incarnation. Until then it
		// gets no orders, only one hold with a higher fence: late orders and holds for the earlier incarnation would
		// start runs there, and drop ended ones by the earlier incarnation's numbers.
		c.raiseGeneration(cell.NextGeneration(c.generation))
		c.config.Logger.Info("response from another executor incarnation", "executor", hold.Executor,
			"born", inventory.Born)
		current.replaced = true
		notify(c.reportSignal)
		return
	}
	if current.applyInventory(hold, inventory, requestedAt, c.config.BootTime.Now()) {
		notify(c.reportSignal)
	}
}

// recordHoldFailure records that a hold requested at requestedAt failed, the last of a number of failures in a row, and
// reports a change to the scheduler soon.
func (c *Controller) recordHoldFailure(current *incarnation, requestedAt time.Duration, failures int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current.unverified = true
	c.raiseRejectedFence(current, requestedAt, err)
	silent := failures >= silentAfterFailures && current.setSilent(true)
	gone := c.confirmShutdown(current, requestedAt, err)
	if silent || gone {
		notify(c.reportSignal)
	}
}

// recordHoldResponse records that the executor has answered a hold requested at requestedAt, and reports a change to
// the scheduler soon.
func (c *Controller) recordHoldResponse(current *incarnation, requestedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current.refuteShutdown(requestedAt)
	if current.setSilent(false) {
		notify(c.reportSignal)
	}
}

// raiseRejectedFence raises the generation if the executor rejects the fence although it is that of a known scheduler:
// an earlier process of this agent used a higher one that the scheduler didn't hear of. At most one raise a
// fenceRaiseInterval leaves time for the orders of a newer scheduler. The caller holds the mutex.
func (c *Controller) raiseRejectedFence(current *incarnation, now time.Duration, err error) {
	rejected := &cell.OrderRejectedError{}
	if c.epoch == 0 || c.incarnation != current || !errors.As(err, &rejected) || rejected.Reason != reasonFence ||
		now-c.fenceRaisedAt < fenceRaiseInterval {
		return
	}
	c.fenceRaisedAt = now
	c.raiseGeneration(cell.NextGeneration(c.generation))
	c.config.Logger.Warn("executor rejects the fence; raising the generation", "executor", current.executor.GetId(),
		"epoch", c.epoch, "generation", c.generation)
}

// finalHold extends the leases as far as granted, so that the runs survive a restart of this process.
func (c *Controller) finalHold(ctx context.Context) {
	hold, ok := c.lastHold()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := c.config.Executor.Hold(ctx, hold); err != nil {
		c.config.Logger.Warn("final lease extension failed", "error", err)
	}
}

// lastHold returns the hold that the process leaves behind; false if it has none to send.
func (c *Controller) lastHold() (cell.HoldRequest, bool) {
	hold, current, ok := c.nextHold()
	if !ok {
		return cell.HoldRequest{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hold.Wait = 0
	if !current.replaced {
		hold.LeaseEnd = current.leases.limit
	}
	return hold, true
}
