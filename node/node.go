package node

import (
	"context"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Node is the agent of one executor. It is safe for concurrent use.
type Node struct {
	config Config
	mu     sync.Mutex
	// lastHeartbeat is the newest heartbeat; incarnation is the executor's incarnation that receives orders.
	lastHeartbeat *cell.Heartbeat
	incarnation   *incarnation
	// epoch is the highest epoch received from a scheduler.
	epoch            int64
	schedulerAddress string
	entryAddresses   []string
	agentAddresses   []string
	lastSequence     uint64
	// lastAnswered is the sequence number of the newest report that was answered.
	lastAnswered uint64
	// reportSignal and holdSignal hold a value while a report or a hold is due.
	reportSignal chan struct{}
	holdSignal   chan struct{}
	orders       sync.WaitGroup
	calls        sync.WaitGroup
}

// New returns a node.
func New(config Config) *Node {
	return &Node{
		config:         config,
		entryAddresses: config.Entries,
		reportSignal:   make(chan struct{}, 1),
		holdSignal:     make(chan struct{}, 1),
	}
}

// Beat processes a heartbeat of the executor and reports whether it was accepted. A heartbeat older than the newest one
// changes nothing.
func (n *Node) Beat(heartbeat cell.Heartbeat) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if heartbeat.Leaving {
		if n.incarnation != nil && n.incarnation.executor.GetId() == heartbeat.Executor.GetId() {
			n.incarnation.executor.Gone = true
			n.config.Logger.Info("executor is shutting down", "executor", heartbeat.Executor.GetId())
			notify(n.reportSignal)
		}
		return true
	}
	if n.lastHeartbeat != nil && isStale(heartbeat, *n.lastHeartbeat) {
		return true
	}
	isNew := n.lastHeartbeat == nil || !sameIncarnation(heartbeat.Executor, n.lastHeartbeat.Executor)
	n.lastHeartbeat = &heartbeat
	if isNew {
		n.config.Logger.Info("new executor incarnation", "executor", heartbeat.Executor.GetId(),
			"born", heartbeat.Executor.GetBorn(), "service", heartbeat.Executor.GetService())
		notify(n.holdSignal)
		return true
	}
	if n.incarnation == nil || !sameIncarnation(n.incarnation.executor, heartbeat.Executor) {
		return true
	}
	if n.incarnation.executor.GetDraining() != heartbeat.Executor.GetDraining() {
		n.config.Logger.Info("executor draining state changed", "executor", heartbeat.Executor.GetId(),
			"draining", heartbeat.Executor.GetDraining(), "remaining", heartbeat.Executor.GetLeftMs())
		notify(n.reportSignal)
	}
	n.incarnation.updateExecutor(heartbeat.Executor)
	return true
}

// Run runs the agent until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	holdLoopDone, reportLoopDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(holdLoopDone)
		n.holdLoop(ctx)
	}()
	go func() {
		defer close(reportLoopDone)
		n.reportLoop(ctx)
	}()
	<-holdLoopDone
	<-reportLoopDone
	n.calls.Wait()
	n.orders.Wait()
	n.finalHold(context.WithoutCancel(ctx))
	return nil
}

// finalHold extends the leases as far as granted, so that the runs survive a restart of this process.
func (n *Node) finalHold(ctx context.Context) {
	hold, _, ok := n.nextHold()
	if !ok {
		return
	}
	hold.Wait = 0
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := n.config.Executor.Hold(ctx, hold); err != nil {
		n.config.Logger.Warn("final lease extension failed", "error", err)
	}
}

func (n *Node) holdLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		n.switchIncarnation(ctx)
		hold, current, ok := n.nextHold()
		if !ok {
			n.sleep(ctx, n.holdSignal, idleHoldWait)
			continue
		}
		holdCtx, cancel := context.WithTimeout(ctx, hold.Wait+orderTimeout)
		requestedAt := n.config.Boot.Now()
		inventory, err := n.config.Executor.Hold(holdCtx, hold)
		cancel()
		if err != nil {
			failures++
			if failures == 1 && ctx.Err() == nil {
				n.config.Logger.Warn("hold request to executor failed; retrying", "executor", hold.Executor, "error", err)
			}
			n.sleep(ctx, n.holdSignal, orderRetryDelay)
			continue
		}
		if failures > 0 {
			n.config.Logger.Info("hold request to executor succeeded after retries",
				"executor", hold.Executor, "failures", failures)
		}
		failures = 0
		n.applyInventory(current, hold, inventory, requestedAt)
	}
}

// nextHold returns the next hold for the executor; false while no live incarnation is known.
func (n *Node) nextHold() (cell.Hold, *incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == nil || n.incarnation.replaced || n.incarnation.executor.GetGone() {
		return cell.Hold{}, nil, false
	}
	hold := cell.Hold{
		Executor: n.incarnation.executor.GetId(),
		Fence:    n.epoch,
		Recorded: n.incarnation.recordedEnd,
		Until:    n.incarnation.leaseLimit,
		Wait:     idleHoldWait,
	}
	switch {
	case n.incarnation.epoch != n.epoch || n.incarnation.hasUnconfirmedOrders():
		// The scheduler or an order waits for this answer.
		hold.Wait = 0
	case len(n.incarnation.inventory.Running) > 0:
		hold.Wait = busyHoldWait
	}
	return hold, n.incarnation, true
}

// applyInventory applies the answer to a hold, unless the executor has restarted.
func (n *Node) applyInventory(
	current *incarnation, hold cell.Hold, inventory cell.Inventory, requestedAt time.Duration,
) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != current {
		return
	}
	if inventory.Born != 0 && current.executor.GetBorn() != 0 && inventory.Born != current.executor.GetBorn() {
		// The executor restarted under the same id, and its next heartbeat describes the new incarnation. Until then it
		// gets no requests: it would execute orders meant for the earlier incarnation, and drop ended runs by the
		// earlier incarnation's numbers.
		n.config.Logger.Info("answer from another executor incarnation", "executor", hold.Executor,
			"born", inventory.Born)
		current.replaced = true
		return
	}
	if current.applyInventory(hold, inventory, requestedAt, n.config.Boot.Now()) {
		notify(n.reportSignal)
	}
}

// switchIncarnation switches to a new incarnation of the executor. Starts for the old incarnation whose outcome isn't
// known may reach the new one, so they are stopped there before the new incarnation is reported to the scheduler.
func (n *Node) switchIncarnation(ctx context.Context) {
	n.mu.Lock()
	lastHeartbeat, previous := n.lastHeartbeat, n.incarnation
	n.mu.Unlock()
	if lastHeartbeat == nil || (previous != nil && sameIncarnation(previous.executor, lastHeartbeat.Executor)) {
		return
	}
	if previous != nil {
		n.mu.Lock()
		previous.replaced = true
		n.mu.Unlock()
		n.orders.Wait()
		n.stopUnconfirmedStarts(ctx, previous, lastHeartbeat.Executor)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation = newIncarnation(lastHeartbeat.Executor, n.config.Boot.Now())
	notify(n.reportSignal)
}

func (n *Node) stopUnconfirmedStarts(ctx context.Context, previous *incarnation, executor *cellpb.Executor) {
	n.mu.Lock()
	keys := previous.unconfirmedStarts()
	n.mu.Unlock()
	for _, key := range keys {
		stopCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := n.config.Executor.Stop(stopCtx, cell.TaskStop{
			Executor: executor.GetId(),
			Task:     key.task,
			Run:      key.run,
			Fence:    n.currentEpoch(),
		})
		cancel()
		n.config.Logger.Info("stopped unconfirmed start of an earlier incarnation",
			"task", key.task, "run", key.run, "error", err)
	}
}

func (n *Node) currentEpoch() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

// sleep waits for a duration, until a signal or until ctx ends.
func (n *Node) sleep(ctx context.Context, signal <-chan struct{}, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-signal:
	case <-n.config.Clock.After(duration):
	}
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
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
