package agent

import (
	"context"
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// applyOrders starts the execution of the orders in the reply to the report with the given sequence number. It ignores
// a reply that is older than one already applied: a start in it may have been withdrawn since. The caller holds the
// mutex.
func (c *Controller) applyOrders(ctx context.Context, sequence uint64, orders *cellpb.Orders) {
	if sequence < c.lastAnswered {
		return
	}
	c.lastAnswered = sequence
	if orders.GetEpoch() < c.epoch {
		return
	}
	if orders.GetEpoch() > c.epoch {
		c.config.Logger.Info("new scheduler", "epoch", orders.GetEpoch(), "address", orders.GetScheduler())
		c.epoch = orders.GetEpoch()
		notify(c.holdSignal)
	}
	if orders.GetSpeed() != nil {
		c.speed = orders.GetSpeed()
	}
	c.raiseRequired(sequence, orders.GetGeneration())
	current := c.incarnation
	if current == nil || current.replaced || orders.GetExecutor() != current.executor.GetId() ||
		orders.GetBorn() != current.executor.GetBorn() {
		return
	}
	current.recordedEnd = max(current.recordedEnd, orders.GetRecorded())
	current.leases = current.leases.withGrant(sequence, grantOf(orders))
	current.ordered = map[run]bool{}
	for _, start := range current.validStarts(sequence, orders) {
		key := runOf(start)
		current.ordered[key] = true
		if !current.beginOrder(key, true) {
			continue
		}
		c.orders.Go(func() { c.start(ctx, current, key, start) })
	}
	for _, stop := range orders.GetStops() {
		key := runOf(stop)
		if !current.beginOrder(key, false) {
			continue
		}
		c.orders.Go(func() { c.stop(ctx, current, key) })
	}
}

// grantOf returns the time on the executor's clock up to which orders let leases be extended.
func grantOf(orders *cellpb.Orders) time.Duration {
	return time.Duration(orders.GetGrantMs()) * time.Millisecond
}

// reasonStaleRun is the reason for rejecting a run whose number isn't higher than that of a run of the same task that
// ran or was stopped on the executor.
const reasonStaleRun = "old"

// reasonFence is the reason for rejecting a request with a lower fence than an earlier one.
const reasonFence = "fence"

// rejectStart reports to the scheduler that a run won't start. If an earlier request is unanswered, the executor may
// have carried it out or may still do so: the run is stopped there first, and a later inventory shows whether it ran. A
// run rejected as stale may have run as well.
func (c *Controller) rejectStart(ctx context.Context, current *incarnation, key run, reason string, unanswered bool) {
	c.config.Logger.Info("start not carried out", "task", key.task, "run", key.run, "reason", reason,
		"unanswered", unanswered)
	if unanswered && reason != reasonStaleRun && !c.stopWithRetry(ctx, current, key) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if unanswered || reason == reasonStaleRun {
		current.deferRejection(key, reason, c.config.BootTime.Now())
		notify(c.holdSignal)
		return
	}
	current.rejectStart(key, reason)
	notify(c.reportSignal)
}

func (c *Controller) stop(ctx context.Context, current *incarnation, key run) {
	defer c.orderFinished(current, key, false)
	if !c.stopWithRetry(ctx, current, key) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current.stopped[key] = c.config.BootTime.Now()
	notify(c.holdSignal)
}

func (c *Controller) stopWithRetry(ctx context.Context, current *incarnation, key run) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		executor, fence, replaced := current.executor.GetId(), c.fence(current).Token(), current.replaced
		c.mu.Unlock()
		if replaced {
			return false
		}
		stopCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := repeatUntilAnswered(stopCtx, c, repeatDelay, func(ctx context.Context, _ int) (struct{}, error) {
			return struct{}{}, c.config.Executor.Stop(ctx, cell.TaskStop{
				Executor: executor,
				Task:     key.task,
				Run:      key.run,
				Fence:    fence,
			})
		})
		cancel()
		rejected := &cell.OrderRejectedError{}
		switch {
		case err == nil:
			c.config.Logger.Info("run stopped", "task", key.task, "run", key.run)
			return true
		case errors.As(err, &rejected) && rejected.Reason != "unhealthy":
			c.config.Logger.Info("executor rejected stop", "task", key.task, "run", key.run, "reason", rejected.Reason)
			return rejected.Reason != reasonFence
		case errors.Is(err, cell.ErrOtherIncarnation):
			return false
		}
		c.sleep(ctx, nil, orderRetryDelay)
	}
	return false
}

func (c *Controller) started(current *incarnation, key run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current.started[key] = c.config.BootTime.Now()
	notify(c.holdSignal)
	notify(c.reportSignal)
}

func (c *Controller) orderFinished(current *incarnation, key run, isStart bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current.finishOrder(key, isStart)
}
