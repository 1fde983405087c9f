package agent

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// run identifies one run of a task.
type run struct {
	task string
	run  int32
}

// runOf returns the run that a message is about.
func runOf(message interface {
	GetTask() string
	GetRun() int32
},
) run {
	return run{
		task: message.GetTask(),
		run:  message.GetRun(),
	}
}

// incarnation is the state of one incarnation of the executor, from its start to its end or restart. The controller's
// mutex guards it.
type incarnation struct {
	executor *cellpb.Executor
	// sequence is that of the newest heartbeat, which was accepted at heartbeatAt.
	sequence    int64
	heartbeatAt time.Duration
	// replaced is set once the executor is known to have restarted, successorFenced once the next incarnation under the
	// same id has seen a higher fence.
	replaced        bool
	successorFenced bool
	// silent is set while the executor leaves holds unanswered, unverified from the first failed hold on until one is
	// answered: another incarnation may listen by then.
	silent     bool
	unverified bool
	// unansweredAt is when a start was last given up as unanswered. It is repeated after an inventory requested later.
	unansweredAt time.Duration
	// shutdownAt is when the executor announced its end; 0 if it didn't, or has answered a later hold.
	shutdownAt time.Duration
	// leavesAt is the time on the executor's clock until which it says that it stays while it drains; 0 if it said none.
	leavesAt  time.Duration
	inventory cell.Inventory
	// generation is that of the fences for requests to this incarnation.
	generation int64
	// firstReport is the sequence number of the first report that named this incarnation; 0 if none did.
	firstReport uint64
	// fence is that of the hold that returned the inventory, requestedAt the time of its request and readAt that of its
	// response.
	fence       cell.ExecutorFence
	requestedAt time.Duration
	readAt      time.Duration
	// recordedEnd is the number of the newest end stored in the cell's log.
	recordedEnd int64
	leases      leases
	// shrunkAfter is the sequence number of the newest report before the capacity last shrank.
	shrunkAfter uint64
	// ordered holds the starts of the newest orders.
	ordered  map[run]bool
	starting map[run]bool
	stopping map[run]bool
	// started and stopped hold when the executor acknowledged an order, until an inventory shows the outcome. stopped
	// also holds starts that were rejected as stale.
	started map[run]time.Duration
	stopped map[run]time.Duration
	// rejectionReasons holds the reasons of rejected starts whose outcome the next inventory shows. Their runs are in
	// stopped as well.
	rejectionReasons map[run]string
	rejected         []*cellpb.Rejected
}

func newIncarnation(heartbeat cell.Heartbeat, generation int64, now time.Duration) *incarnation {
	i := &incarnation{
		executor:    proto.CloneOf(heartbeat.Executor),
		sequence:    heartbeat.Sequence,
		heartbeatAt: now,
		generation:  generation,
		inventory: cell.Inventory{
			Clock: time.Duration(heartbeat.Executor.GetSteadyMs()) * time.Millisecond,
		},
		readAt:           now,
		ordered:          map[run]bool{},
		starting:         map[run]bool{},
		stopping:         map[run]bool{},
		started:          map[run]time.Duration{},
		stopped:          map[run]time.Duration{},
		rejectionReasons: map[run]string{},
	}
	i.leavesAt = i.endOfDrain(heartbeat.Executor)
	return i
}

// acceptHeartbeat reports whether a heartbeat of this incarnation counts, and records it. A late one doesn't, nor one
// with another service or zone, which an incarnation keeps. Either counts if no other has for maxHeartbeatAge: then the
// one before came from another writer, and the executor's own would be ignored for good.
func (i *incarnation) acceptHeartbeat(heartbeat cell.Heartbeat, now time.Duration) bool {
	late := heartbeat.Sequence <= i.sequence
	differs := heartbeat.Executor.GetService() != i.executor.GetService() ||
		heartbeat.Executor.GetZone() != i.executor.GetZone()
	if (late || differs) && now-i.heartbeatAt < maxHeartbeatAge {
		return false
	}
	i.sequence = heartbeat.Sequence
	i.heartbeatAt = now
	i.leavesAt = i.endOfDrain(heartbeat.Executor)
	return true
}

// endOfDrain returns the time on the executor's clock until which a draining executor says in its newest heartbeat that
// it stays. Once it says none, what it said before holds.
func (i *incarnation) endOfDrain(executor *cellpb.Executor) time.Duration {
	switch {
	case !executor.GetDraining():
		return 0
	case executor.GetLeftMs() == 0:
		return i.leavesAt
	}
	clock := time.Duration(executor.GetSteadyMs()) * time.Millisecond
	return cmp.Or(clock, i.earliestClock(i.heartbeatAt)) + time.Duration(executor.GetLeftMs())*time.Millisecond
}

// beginOrder reports whether an order must be executed now, and marks it as in progress if so.
func (i *incarnation) beginOrder(key run, isStart bool) bool {
	if !isStart {
		_, acknowledged := i.stopped[key]
		if i.stopping[key] || acknowledged {
			return false
		}
		i.stopping[key] = true
		return true
	}
	_, acknowledged := i.started[key]
	if _, awaitsInventory := i.stopped[key]; awaitsInventory {
		return false
	}
	if i.starting[key] || i.stopping[key] || acknowledged || i.isRunning(key) || i.isRejected(key) {
		return false
	}
	i.starting[key] = true
	return true
}

// earliestClock returns the earliest possible reading of the executor's clock.
func (i *incarnation) earliestClock(now time.Duration) time.Duration {
	elapsed := now - i.readAt
	return i.inventory.Clock + elapsed - time.Duration(cell.MaxClockDrift*float64(elapsed))
}

// droppableEnd returns the number of the newest recorded end that the executor lists; 0 if it lists none. A hold
// carries no other number: carried out by the next incarnation, it would drop that one's ends up to it.
func (i *incarnation) droppableEnd() int64 {
	newest := int64(0)
	for _, ended := range i.inventory.Ended {
		if ended.GetNumber() <= i.recordedEnd {
			newest = max(newest, ended.GetNumber())
		}
	}
	return newest
}

// setSilent records whether the executor leaves holds unanswered, and reports whether that changes anything.
func (i *incarnation) setSilent(silent bool) bool {
	changed := i.silent != silent
	i.silent = silent
	return changed
}

// updateExecutor updates the executor's description from a heartbeat. An executor that was taken for gone gets
// holds again. After a shrink, starts are attempted again only if the scheduler orders them for the new capacity, in
// the reply to a report with a higher sequence number than lastSequence.
func (i *incarnation) updateExecutor(executor *cellpb.Executor, lastSequence uint64) {
	if !cell.CapacityOf(executor).Covers(cell.CapacityOf(i.executor)) {
		i.ordered = map[run]bool{}
		i.shrunkAfter = lastSequence
	}
	i.executor = proto.CloneOf(executor)
}

func (i *incarnation) finishOrder(key run, isStart bool) {
	if isStart {
		delete(i.starting, key)
		return
	}
	delete(i.stopping, key)
}

// isListed reports whether the inventory holds a run, as running or ended.
func (i *incarnation) isListed(key run) bool {
	return i.isRunning(key) ||
		slices.ContainsFunc(i.inventory.Ended, func(ended *cellpb.EndedTask) bool { return runOf(ended) == key })
}

func (i *incarnation) isRejected(key run) bool {
	return slices.ContainsFunc(i.rejected, func(rejected *cellpb.Rejected) bool { return runOf(rejected) == key })
}

func (i *incarnation) rejectStart(key run, reason string) {
	if i.isRejected(key) {
		return
	}
	i.rejected = append(i.rejected, &cellpb.Rejected{
		Task:   key.task,
		Run:    key.run,
		Reason: reason,
	})
}

// deferRejection marks a rejected run as unresolved until the next inventory shows whether it ever began.
func (i *incarnation) deferRejection(key run, reason string, now time.Duration) {
	i.stopped[key] = now
	i.rejectionReasons[key] = reason
}

// report fills in the executor's part of a report, which has its sequence number.
func (i *incarnation) report(report *cellpb.Report) {
	report.Epoch = i.fence.Epoch
	report.Generation = i.fence.Generation
	report.NewestGeneration = i.generation
	report.Executor = proto.CloneOf(i.executor)
	report.Executor.SteadyMs = i.inventory.Clock.Milliseconds()
	report.Executor.Silent = i.silent || i.replaced
	if report.GetExecutor().GetSilent() {
		i.leases = i.leases.withSilentReport(report.GetSequence())
		report.Executor.LeaseEndMs = i.leases.reportedEnd().Milliseconds()
	}
	if !i.executor.GetGone() {
		report.Running = i.runningTasks()
	}
	report.Rejected = append(report.Rejected, i.rejected...)
	for _, ended := range i.inventory.Ended {
		if ended.GetNumber() > i.recordedEnd {
			report.Ended = append(report.Ended, ended)
		}
	}
}

// removeDelivered drops the rejections that the scheduler has received with a report.
func (i *incarnation) removeDelivered(report *cellpb.Report) {
	delivered := map[run]bool{}
	for _, rejected := range report.GetRejected() {
		delivered[runOf(rejected)] = true
	}
	i.rejected = slices.DeleteFunc(i.rejected, func(rejected *cellpb.Rejected) bool { return delivered[runOf(rejected)] })
}

// runningTasks returns the running tasks of the inventory and those started since it was read.
func (i *incarnation) runningTasks() []*cellpb.RunningTask {
	tasks := slices.Clone(i.inventory.Running)
	for key := range i.started {
		if !i.isRunning(key) {
			tasks = append(tasks, &cellpb.RunningTask{
				Task: key.task,
				Run:  key.run,
			})
		}
	}
	return tasks
}

func (i *incarnation) isRunning(key run) bool {
	return slices.ContainsFunc(i.inventory.Running, func(r *cellpb.RunningTask) bool { return runOf(r) == key })
}

// applyInventory applies an inventory that was requested at requestedAt, and reports whether it must be reported to the
// scheduler soon.
func (i *incarnation) applyInventory(
	hold cell.HoldRequest, inventory cell.Inventory, requestedAt, now time.Duration,
) bool {
	fence := cell.ParseExecutorFence(hold.Fence)
	changed := i.fence != fence || runsDiffer(i.inventory, inventory)
	i.inventory = inventory
	i.fence = fence
	i.unverified = false
	i.requestedAt = requestedAt
	i.readAt = now
	listed := map[run]bool{}
	running := map[run]bool{}
	for _, r := range inventory.Running {
		listed[runOf(r)] = true
		running[runOf(r)] = true
	}
	for _, ended := range inventory.Ended {
		listed[runOf(ended)] = true
	}
	for key, at := range i.started {
		if listed[key] || at <= requestedAt {
			delete(i.started, key)
		}
	}
	for key, at := range i.stopped {
		switch {
		case running[key]:
		case listed[key]:
			delete(i.stopped, key)
			delete(i.rejectionReasons, key)
		case at <= requestedAt && !inventory.Truncated:
			// The run never began: the inventory doesn't list it, and the executor rejects it from now on.
			i.rejectStart(key, cmp.Or(i.rejectionReasons[key], "stopped"))
			delete(i.stopped, key)
			delete(i.rejectionReasons, key)
			changed = true
		}
	}
	return changed
}

// validStarts returns the starts in the reply to a report, unless they were chosen for more room than there is: a
// report of the new capacity is due.
func (i *incarnation) validStarts(sequence uint64, orders *cellpb.Orders) []*cellpb.Start {
	if sequence <= i.shrunkAfter {
		return nil
	}
	return orders.GetStarts()
}

// hasUnconfirmedOrders reports whether the inventory doesn't show the outcome of an acknowledged order yet.
func (i *incarnation) hasUnconfirmedOrders() bool {
	for key := range i.stopped {
		if !i.isRunning(key) {
			return true
		}
	}
	return len(i.started) > 0
}

// runsDiffer reports whether runs have started or ended between two inventories.
func runsDiffer(before, after cell.Inventory) bool {
	if len(before.Running) != len(after.Running) || len(before.Ended) != len(after.Ended) {
		return true
	}
	known := map[run]bool{}
	for _, r := range before.Running {
		known[runOf(r)] = true
	}
	for _, r := range after.Running {
		if !known[runOf(r)] {
			return true
		}
	}
	return len(before.Ended) > 0 &&
		before.Ended[len(before.Ended)-1].GetNumber() != after.Ended[len(after.Ended)-1].GetNumber()
}
