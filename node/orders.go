package node

import (
	"context"
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// applyOrders starts the execution of the orders in a reply.
func (n *Node) applyOrders(ctx context.Context, orders *cellpb.Orders) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if orders.GetEpoch() < n.epoch {
		return
	}
	if orders.GetEpoch() > n.epoch {
		n.config.Logger.Info("new scheduler", "epoch", orders.GetEpoch(), "address", orders.GetScheduler())
		n.epoch = orders.GetEpoch()
		notify(n.holdSignal)
	}
	current := n.incarnation
	if current == nil || current.replaced || orders.GetExecutor() != current.executor.GetId() ||
		orders.GetBorn() != current.executor.GetBorn() {
		return
	}
	current.recordedEnd = max(current.recordedEnd, orders.GetRecorded())
	current.leaseLimit = max(current.leaseLimit, time.Duration(orders.GetGrantMs())*time.Millisecond)
	current.ordered = map[run]bool{}
	for _, start := range orders.GetStarts() {
		key := runOf(start)
		current.ordered[key] = true
		if !current.beginOrder(key, true) {
			continue
		}
		n.orders.Go(func() { n.start(ctx, current, key, start) })
	}
	for _, stop := range orders.GetStops() {
		key := runOf(stop)
		if !current.beginOrder(key, false) {
			continue
		}
		n.orders.Go(func() { n.stop(ctx, current, key) })
	}
}

// start retries a start until its outcome is known or the scheduler no longer orders it.
func (n *Node) start(ctx context.Context, current *incarnation, key run, order *cellpb.Start) {
	defer n.orderFinished(current, key, true)
	for {
		n.mu.Lock()
		ordered := current.ordered[key] && !current.replaced
		draining := current.executor.GetDraining()
		until := min(current.earliestClock(n.config.Boot.Now())+maxStartDelay, current.leaseLimit)
		fence := n.epoch
		n.mu.Unlock()
		if !ordered || ctx.Err() != nil {
			return
		}
		if draining {
			n.rejectStart(ctx, current, key, "draining")
			return
		}
		n.countStartAttempt(current, key)
		startCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := n.config.Executor.Start(startCtx, cell.TaskStart{
			Executor:   current.executor.GetId(),
			Task:       key.task,
			Run:        key.run,
			Spec:       order.GetSpec(),
			Checkpoint: order.GetCheckpoint(),
			Ticket:     order.GetTicket(),
			Until:      until,
			Fence:      fence,
		})
		cancel()
		rejected := &cell.RejectedError{}
		switch {
		case err == nil:
			n.config.Logger.Info("run started",
				"task", key.task, "run", key.run, "until", until.Milliseconds(), "fence", fence)
			n.started(current, key)
			return
		case errors.As(err, &rejected):
			n.config.Logger.Info("start refused", "task", key.task, "run", key.run, "reason", rejected.Reason)
			if rejected.Reason != "fence" {
				n.rejectStart(ctx, current, key, rejected.Reason)
			}
			return
		case errors.Is(err, cell.ErrOtherLife):
			return
		}
		n.config.Logger.Warn("start request failed; retrying", "task", key.task, "run", key.run, "error", err)
		n.sleep(ctx, nil, orderRetryDelay)
	}
}

// reasonStaleRun is the reason for refusing a run whose number isn't higher than that of a run of the same task that
// ran or was stopped on the executor.
const reasonStaleRun = "old"

// rejectStart reports to the scheduler that a run won't start. After an earlier attempt without an answer this isn't
// certain: the executor may still execute that attempt, so the run is stopped first. The run may also have started and
// ended already, which only a later inventory shows. A run refused as stale may have run as well.
func (n *Node) rejectStart(ctx context.Context, current *incarnation, key run, reason string) {
	neverStarted := reason != reasonStaleRun && n.startAttempts(current, key) <= 1
	if !neverStarted && reason != reasonStaleRun && !n.stopWithRetry(ctx, current, key) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !neverStarted {
		current.deferRejection(key, reason, n.config.Boot.Now())
		notify(n.holdSignal)
		return
	}
	current.rejectStart(key, reason)
	notify(n.reportSignal)
}

func (n *Node) stop(ctx context.Context, current *incarnation, key run) {
	defer n.orderFinished(current, key, false)
	if !n.stopWithRetry(ctx, current, key) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	current.stopped[key] = n.config.Boot.Now()
	notify(n.holdSignal)
}

func (n *Node) stopWithRetry(ctx context.Context, current *incarnation, key run) bool {
	for ctx.Err() == nil {
		stopCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := n.config.Executor.Stop(stopCtx, cell.TaskStop{
			Executor: current.executor.GetId(),
			Task:     key.task,
			Run:      key.run,
			Fence:    n.currentEpoch(),
		})
		cancel()
		rejected := &cell.RejectedError{}
		switch {
		case err == nil:
			n.config.Logger.Info("run stopped", "task", key.task, "run", key.run)
			return true
		case errors.As(err, &rejected) && rejected.Reason != "unhealthy":
			n.config.Logger.Info("stop refused", "task", key.task, "run", key.run, "reason", rejected.Reason)
			return rejected.Reason != "fence"
		case errors.Is(err, cell.ErrOtherLife):
			return false
		}
		n.mu.Lock()
		replaced := current.replaced
		n.mu.Unlock()
		if replaced {
			return false
		}
		n.sleep(ctx, nil, orderRetryDelay)
	}
	return false
}

func (n *Node) countStartAttempt(current *incarnation, key run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.startAttempts[key]++
}

func (n *Node) startAttempts(current *incarnation, key run) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return current.startAttempts[key]
}

func (n *Node) started(current *incarnation, key run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.started[key] = n.config.Boot.Now()
	notify(n.holdSignal)
	notify(n.reportSignal)
}

func (n *Node) orderFinished(current *incarnation, key run, isStart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.finishOrder(key, isStart)
}
