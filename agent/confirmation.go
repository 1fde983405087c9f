package agent

import (
	"context"
	"errors"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// confirmCandidates asks the executor about each incarnation that heartbeats have named beside the current one. It
// switches to one that the executor confirms, and drops those that it refutes. It reports whether one got no answer and
// must be asked about again.
//
// The executor is the one at the configured address. It rejects a hold for another id, and its response names its start
// time. A heartbeat alone proves neither: another writer may have sent it.
func (c *Controller) confirmCandidates(ctx context.Context) bool {
	c.mu.Lock()
	pending := c.unconfirmed.begin(c.config.BootTime.Now())
	c.mu.Unlock()
	for _, asked := range pending {
		if !c.confirm(ctx, asked.heartbeat.Executor) {
			// The others are at the same address. Waiting for each would delay the current incarnation's holds.
			return true
		}
	}
	return false
}

// confirm asks the executor about one incarnation, and reports whether it answered.
func (c *Controller) confirm(ctx context.Context, executor *cellpb.Executor) bool {
	hold := c.firstHold(executor)
	requestedAt := c.config.BootTime.Now()
	holdCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	inventory, err := c.config.Executor.Hold(holdCtx, hold)
	rejected := &cell.OrderRejectedError{}
	switch {
	case errors.Is(err, cell.ErrOtherIncarnation):
		c.refute(executor, "the executor has another id", 0)
		return true
	case errors.As(err, &rejected) && rejected.Reason == reasonFence && !c.isCurrentID(executor.GetId()):
		// Only an executor with this id compares fences. An earlier process of this agent used a higher one.
		c.switchIncarnation(executor)
		return true
	case err != nil:
		return false
	case !isInventoryOf(inventory, executor):
		c.refute(executor, "the executor has another start time", inventory.Born)
		return true
	}
	if current := c.switchIncarnation(executor); current != nil {
		c.recordHoldResponse(current, requestedAt)
		c.applyInventory(current, hold, inventory, requestedAt)
	}
	return true
}

// isInventoryOf reports whether an inventory is that of an incarnation. An executor that names its start time in its
// lists names it in its heartbeats as well: one without it is of another writer.
func isInventoryOf(inventory cell.Inventory, executor *cellpb.Executor) bool {
	return inventory.Born == 0 || inventory.Born == executor.GetBorn()
}

// firstHold returns the first hold for an incarnation. Requests to the current one may reach that incarnation seconds
// later; the hold has a higher fence, so that those are rejected. What was carried out before is in its response.
func (c *Controller) firstHold(executor *cellpb.Executor) cell.HoldRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	fence := cell.ExecutorFence{
		Epoch:      c.epoch,
		Generation: c.generation,
	}
	if c.incarnation != nil {
		fence.Generation = cell.NextGeneration(c.generation)
		if c.incarnation.executor.GetId() == executor.GetId() {
			// If the heartbeat is wrong, the current incarnation sees this fence.
			c.raiseGeneration(fence.Generation)
		}
	}
	return cell.HoldRequest{
		Executor: executor.GetId(),
		Fence:    fence.Token(),
	}
}

func (c *Controller) isCurrentID(executorID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation != nil && c.incarnation.executor.GetId() == executorID
}

// refute drops an incarnation that isn't the executor's.
func (c *Controller) refute(executor *cellpb.Executor, reason string, born int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unconfirmed.refute(executor, c.config.BootTime.Now())
	c.config.Logger.Warn("heartbeat of another writer ignored", "executor", executor.GetId(),
		"born", executor.GetBorn(), "service", executor.GetService(), "reason", reason, "actual", born)
}

// switchIncarnation switches to an incarnation of the executor, whose first hold has a higher generation, and returns
// it; nil if it isn't a candidate any more.
func (c *Controller) switchIncarnation(executor *cellpb.Executor) *incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat, ok := c.unconfirmed.take(executor)
	if !ok {
		return nil
	}
	if c.incarnation != nil {
		c.incarnation.replaced = true
		c.generation = cell.NextGeneration(c.generation)
	}
	c.incarnation = newIncarnation(heartbeat, c.generation, c.config.BootTime.Now())
	c.config.Logger.Info("new executor incarnation", "executor", heartbeat.Executor.GetId(),
		"born", heartbeat.Executor.GetBorn(), "service", heartbeat.Executor.GetService())
	notify(c.reportSignal)
	return c.incarnation
}
