package agent

import (
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// HandleHeartbeat processes a heartbeat of the executor and reports whether it was accepted. A heartbeat older than the
// newest one changes nothing.
func (c *Controller) HandleHeartbeat(heartbeat cell.Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if heartbeat.ShuttingDown {
		c.handleShutdownNotice(heartbeat.Executor.GetId())
		return true
	}
	if c.lastHeartbeat != nil && isStale(heartbeat, *c.lastHeartbeat) && !c.isSuccessor(heartbeat) {
		return true
	}
	isNew := c.lastHeartbeat == nil || !sameIncarnation(heartbeat.Executor, c.lastHeartbeat.Executor)
	c.lastHeartbeat = &heartbeat
	if isNew {
		c.config.Logger.Info("new executor incarnation", "executor", heartbeat.Executor.GetId(),
			"born", heartbeat.Executor.GetBorn(), "service", heartbeat.Executor.GetService())
		c.endPendingHold()
		return true
	}
	if c.incarnation == nil || !sameIncarnation(c.incarnation.executor, heartbeat.Executor) {
		return true
	}
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
	c.incarnation.updateExecutor(heartbeat.Executor)
	notify(c.holdSignal)
	return true
}

// handleShutdownNotice processes an executor's notice that it ends. The notice names no incarnation and may arrive
// late, and the executor may run for seconds more: it counts only if the incarnation drains, and once nothing listens
// at the address any more. The caller holds the mutex.
func (c *Controller) handleShutdownNotice(executorID string) {
	current := c.incarnation
	accepted := current != nil && current.executor.GetId() == executorID && current.executor.GetDraining()
	c.config.Logger.Info("executor is shutting down", "executor", executorID, "accepted", accepted)
	if accepted {
		current.shutdownAt = c.config.BootTime.Now()
	}
}

// isSuccessor reports whether a heartbeat describes the incarnation that has answered in place of the current one. Its
// start time may be the earlier one, if the time of day jumped back. The caller holds the mutex.
func (c *Controller) isSuccessor(heartbeat cell.Heartbeat) bool {
	if c.incarnation == nil || !c.incarnation.replaced {
		return false
	}
	successor := &cellpb.Executor{
		Id:   c.incarnation.executor.GetId(),
		Born: c.incarnation.successorBorn,
	}
	return sameIncarnation(heartbeat.Executor, successor) && !sameIncarnation(successor, c.lastHeartbeat.Executor)
}

// switchIncarnation switches to a new incarnation of the executor. Requests to the old incarnation may reach the new
// one seconds later. Requests to the new one have a higher fence, so that it rejects those; what it carried out before
// the first hold is in that hold's response.
func (c *Controller) switchIncarnation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastHeartbeat, previous := c.lastHeartbeat, c.incarnation
	if lastHeartbeat == nil || (previous != nil && sameIncarnation(previous.executor, lastHeartbeat.Executor)) {
		return
	}
	if previous != nil {
		previous.replaced = true
		c.generation = cell.NextGeneration(c.generation)
	}
	c.incarnation = newIncarnation(lastHeartbeat.Executor, c.generation, c.config.BootTime.Now())
	notify(c.reportSignal)
}

func isStale(heartbeat, latest cell.Heartbeat) bool {
	if heartbeat.Executor.GetBorn() != latest.Executor.GetBorn() {
		return heartbeat.Executor.GetBorn() < latest.Executor.GetBorn()
	}
	return heartbeat.Executor.GetId() == latest.Executor.GetId() && heartbeat.Sequence <= latest.Sequence
}

func sameIncarnation(x, y *cellpb.Executor) bool {
	return x.GetId() == y.GetId() && x.GetBorn() == y.GetBorn()
}
