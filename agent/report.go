package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/peer"
)

// maxRelayAgents is the number of other agents tried as relays if no entry replies.
const maxRelayAgents = 3

// maxEntryAddresses bounds the entries that an agent knows.
const maxEntryAddresses = 256

const (
	// unreachableBackoff is how long an address that didn't reply is skipped. noSchedulerBackoff applies to one that
	// knows no scheduler; it is shorter, because a new scheduler may be elected at any moment.
	unreachableBackoff = 2 * time.Second
	noSchedulerBackoff = 150 * time.Millisecond
)

// recordReport records how a report to an address ended.
func recordReport(selector *peer.Selector, address string, err error, now time.Duration) {
	switch {
	case err == nil:
		selector.RecordSuccess(address)
	case errors.Is(err, errNoScheduler):
		selector.RecordFailure(address, now+noSchedulerBackoff)
	default:
		selector.RecordFailure(address, now+unreachableBackoff)
	}
}

// callResult is the result of one report to the scheduler.
type callResult struct {
	sequence uint64
	address  string
	err      error
}

// reportLoop keeps one report pending at the scheduler, and sends another one as soon as the state changes.
func (c *Controller) reportLoop(ctx context.Context) {
	selector := peer.NewSelector()
	results := make(chan callResult, 1)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	noWait := true
	for ctx.Err() == nil {
		sequence, address := c.sendReport(callCtx, selector, noWait, results)
		noWait = c.awaitCall(ctx, selector, results, sequence, address)
	}
}

// awaitCall waits until a call ends or the state changes, and reports whether the next report must be answered at once.
// The end of an earlier call to the same address is ignored.
func (c *Controller) awaitCall(
	ctx context.Context, selector *peer.Selector, results <-chan callResult, sequence uint64, address string,
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-c.reportSignal:
			return false
		case <-c.config.Clock.After(reportTimeout + reportInterval):
			return true
		case result := <-results:
			recordReport(selector, result.address, result.err, c.config.BootTime.Now())
			if result.err != nil {
				c.config.Logger.Warn("report failed", "address", result.address, "error", result.err)
			}
			if result.sequence < sequence && result.address == address {
				continue
			}
			if result.err != nil {
				c.sleep(ctx, nil, reportRetryDelay)
			}
			return result.err != nil
		}
	}
}

// sendReport sends a report in the background.
func (c *Controller) sendReport(
	ctx context.Context, selector *peer.Selector, noWait bool, results chan<- callResult,
) (uint64, string) {
	report, current := c.report(noWait)
	address := selector.Select(c.candidates(), c.config.BootTime.Now())
	c.calls.Go(func() {
		err := c.exchangeReport(ctx, address, report, current)
		select {
		case results <- callResult{sequence: report.GetSequence(), address: address, err: err}:
		case <-ctx.Done():
		}
	})
	return report.GetSequence(), address
}

func (c *Controller) report(noWait bool) (*cellpb.Report, *incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSequence++
	report := &cellpb.Report{
		Agent:    c.config.ID,
		Address:  c.config.Address,
		Process:  c.config.Process,
		Sequence: c.lastSequence,
		NoWait:   noWait,
		Speed:    c.speed,
	}
	if c.incarnation != nil {
		if c.incarnation.firstReport == 0 {
			c.incarnation.firstReport = c.lastSequence
		}
		c.incarnation.report(report)
	}
	return report, c.incarnation
}

// candidates returns the addresses to report to, in order: the scheduler, the entries, then other agents.
func (c *Controller) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []string
	if c.schedulerAddress != "" {
		candidates = append(candidates, c.schedulerAddress)
	}
	candidates = append(candidates, c.entryAddresses...)
	relayAgents := 0
	for _, agent := range c.agentAddresses {
		if agent != c.config.Address && relayAgents < maxRelayAgents {
			candidates = append(candidates, agent)
			relayAgents++
		}
	}
	return candidates
}

var errNoScheduler = errors.New("no scheduler known")

func (c *Controller) exchangeReport(
	ctx context.Context, address string, report *cellpb.Report, current *incarnation,
) error {
	if address == "" {
		return errNoScheduler
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply := &cellpb.Reply{}
	request := &cellpb.Request{
		Body: &cellpb.Request_Report{
			Report: report,
		},
	}
	if err := c.config.Call(callCtx, address, request, reply); err != nil {
		if ctx.Err() == nil && callCtx.Err() != nil {
			// The connection may be broken without an error, so the next call must open a new one.
			c.config.CloseSession(address)
		}
		return err
	}
	orders := reply.GetOrders()
	c.updateAddresses(orders)
	if orders.GetEpoch() == 0 {
		return errNoScheduler
	}
	c.applyReply(ctx, report, current, orders)
	return nil
}

// applyReply applies the reply to a report, which was about an incarnation; nil if there was none. Orders and
// rejections are applied together: the reply to an earlier report, which may order a rejected start again, is ignored
// from the moment on at which the rejection is dropped.
func (c *Controller) applyReply(
	ctx context.Context, report *cellpb.Report, current *incarnation, orders *cellpb.Orders,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contactAt = c.config.BootTime.Now()
	notify(c.contactSignal)
	c.applyOrders(ctx, report.GetSequence(), orders)
	if current == nil || current.fence.Epoch != orders.GetEpoch() || !wasProcessed(report, orders) {
		return
	}
	current.removeDelivered(report)
	current.leases = current.leases.withBound(grantOf(orders))
}

// wasProcessed reports whether the scheduler has used the lists in a report, according to its reply.
func wasProcessed(report *cellpb.Report, orders *cellpb.Orders) bool {
	return report.GetEpoch() == orders.GetEpoch() && report.GetGeneration() >= orders.GetGeneration()
}

// updateAddresses updates the known addresses from a reply.
func (c *Controller) updateAddresses(orders *cellpb.Orders) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if orders.GetScheduler() != "" && orders.GetEpoch() >= c.epoch {
		c.schedulerAddress = orders.GetScheduler()
	}
	c.updateEntries(orders)
	if len(orders.GetAgents()) > 0 {
		c.agentAddresses = orders.GetAgents()
	}
}

// updateEntries updates the addresses of the entries from a reply. The scheduler lists all of them, so that others are
// forgotten; an entry that knows no scheduler, and a scheduler that was replaced, list those that they know. New
// entries are added in a random order: neighbouring addresses tend to become unreachable together, and each takes a
// second to fail. The caller holds the mutex.
func (c *Controller) updateEntries(orders *cellpb.Orders) {
	listed := orders.GetEntries()
	if orders.GetEpoch() != 0 && orders.GetEpoch() >= c.epoch && len(listed) > 0 {
		c.entryAddresses = slices.DeleteFunc(slices.Clone(c.entryAddresses), func(address string) bool {
			return !slices.Contains(c.seedAddresses, address) && !slices.Contains(listed, address)
		})
	}
	for _, i := range rand.Perm(len(listed)) {
		address := listed[i]
		if address != "" && !slices.Contains(c.entryAddresses, address) && len(c.entryAddresses) < maxEntryAddresses {
			c.entryAddresses = append(c.entryAddresses, address)
		}
	}
}

// ForwardReport forwards another agent's report to the scheduler. It rejects a report that was forwarded before.
func (c *Controller) ForwardReport(ctx context.Context, request *cellpb.Request) *cellpb.Reply {
	report := request.GetReport()
	if report == nil || report.GetHops() > 0 {
		return &cellpb.Reply{
			Error: "not for an agent",
		}
	}
	c.mu.Lock()
	schedulerAddress, entryAddresses := c.schedulerAddress, c.entryAddresses
	c.mu.Unlock()
	report.Hops++
	reply := &cellpb.Reply{}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := c.config.Call(ctx, schedulerAddress, request, reply); err != nil {
		c.config.Logger.Warn("failed to forward report",
			"agent", report.GetAgent(), "scheduler", schedulerAddress, "error", err)
		return &cellpb.Reply{
			Body: &cellpb.Reply_Orders{
				Orders: &cellpb.Orders{
					Entries: entryAddresses,
				},
			},
		}
	}
	return reply
}
