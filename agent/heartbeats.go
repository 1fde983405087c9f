package agent

import (
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// HandleHeartbeat processes a heartbeat of the executor and reports whether it was accepted. One that names another
// incarnation than the current one counts only once the executor itself has confirmed it: other writers send
// heartbeats, too. A late heartbeat of the current incarnation changes nothing.
func (c *Controller) HandleHeartbeat(heartbeat cell.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if heartbeat.ShuttingDown {
		c.handleShutdownNotice(heartbeat.Executor.GetId())
		return true
	}
	now := c.config.BootTime.Now()
	if c.incarnation == nil || !sameIncarnation(c.incarnation.executor, heartbeat.Executor) {
		if c.unconfirmed.add(heartbeat, now) {
			c.holdStarts(heartbeat.Executor.GetId())
			c.endPendingHold()
		}
		return true
	}
	if !c.incarnation.acceptHeartbeat(heartbeat, now) {
		return true
	}
	// The notice that an executor shuts down is its last word.
	c.incarnation.shutdownAt = 0
	if c.incarnation.executor.GetDraining() != heartbeat.Executor.GetDraining() {
		c.config.Logger.Info("executor draining state changed", "executor", heartbeat.Executor.GetId(),
			"draining", heartbeat.Executor.GetDraining(), "remaining", heartbeat.Executor.GetLeftMs())
		notify(c.reportSignal)
	}
	if before, after := cell.CapacityOf(c.incarnation.executor), cell.CapacityOf(heartbeat.Executor); before != after {
		c.config.Logger.Info("executor capacity changed", "executor", heartbeat.Executor.GetId(),
			"before", before.String(), "after", after.String())
		notify(c.reportSignal)
	}
	c.incarnation.updateExecutor(heartbeat.Executor, c.lastSequence)
	notify(c.holdSignal)
	return true
}

// holdStarts delays starts until the next inventory if the executor may have restarted under its id: the next
// incarnation would carry them out. The caller holds the mutex.
func (c *Controller) holdStarts(executorID string) {
	if c.incarnation != nil && c.incarnation.executor.GetId() == executorID {
		c.incarnation.unverified = true
	}
}

// handleShutdownNotice processes an executor's notice that it ends. The notice names no incarnation and may arrive
// late, and the executor may run for a moment more: it counts only if the incarnation drains and says nothing later,
// and once nothing listens at the address any more. The caller holds the mutex.
func (c *Controller) handleShutdownNotice(executorID string) {
	current := c.incarnation
	accepted := current != nil && current.executor.GetId() == executorID && current.executor.GetDraining()
	c.config.Logger.Info("executor is shutting down", "executor", executorID, "accepted", accepted)
	if accepted {
		current.shutdownAt = c.config.BootTime.Now()
	}
}

func sameIncarnation(x, y *cellpb.Executor) bool {
	return x.GetId() == y.GetId() && x.GetBorn() == y.GetBorn()
}
