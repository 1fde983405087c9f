package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// maxRelayAgents is the number of other agents tried as relays if no entry process answers.
const maxRelayAgents = 3

const (
	// unreachableBackoff is how long an address that didn't answer is skipped. noSchedulerBackoff applies to one that
	// knows no scheduler; it is shorter, because a new scheduler may be elected at any moment.
	unreachableBackoff = 2 * time.Second
	noSchedulerBackoff = 150 * time.Millisecond
)

// addressSelector chooses the address for the next report.
type addressSelector struct {
	// retryAt holds when an address that failed may be tried again.
	retryAt map[string]time.Duration
}

// selectAddress returns the first candidate that may be tried now, or else the one that may be tried soonest.
func (s *addressSelector) selectAddress(candidates []string, now time.Duration) string {
	soonest := ""
	for _, candidate := range candidates {
		if now >= s.retryAt[candidate] {
			return candidate
		}
		if soonest == "" || s.retryAt[candidate] < s.retryAt[soonest] {
			soonest = candidate
		}
	}
	return soonest
}

// recordResult updates the backoff of an address after a call.
func (s *addressSelector) recordResult(address string, err error, now time.Duration) {
	switch {
	case err == nil:
		delete(s.retryAt, address)
	case errors.Is(err, errNoScheduler):
		s.retryAt[address] = now + noSchedulerBackoff
	default:
		s.retryAt[address] = now + unreachableBackoff
	}
}

// callResult is the result of one report to the scheduler.
type callResult struct {
	sequence uint64
	address  string
	err      error
}

// reportLoop keeps one report pending at the scheduler, and sends another one as soon as the state changes.
func (n *Node) reportLoop(ctx context.Context) {
	selector := &addressSelector{
		retryAt: map[string]time.Duration{},
	}
	results := make(chan callResult, 1)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	noWait := true
	for ctx.Err() == nil {
		sequence, address := n.sendReport(callCtx, selector, noWait, results)
		noWait = n.awaitCall(ctx, selector, results, sequence, address)
	}
}

// awaitCall waits until the newest call ends or the state changes, and reports whether the next report must be answered
// at once.
func (n *Node) awaitCall(
	ctx context.Context, selector *addressSelector, results <-chan callResult, sequence uint64, address string,
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-n.reportSignal:
			return false
		case <-n.config.Clock.After(reportTimeout + reportInterval):
			return true
		case result := <-results:
			selector.recordResult(result.address, result.err, n.config.Boot.Now())
			if result.err != nil {
				n.config.Logger.Warn("report failed", "address", result.address, "error", result.err)
			}
			if result.sequence < sequence && result.address == address {
				continue
			}
			if result.err != nil {
				n.sleep(ctx, nil, reportRetryDelay)
			}
			return result.err != nil
		}
	}
}

// sendReport sends a report in the background.
func (n *Node) sendReport(
	ctx context.Context, selector *addressSelector, noWait bool, results chan<- callResult,
) (uint64, string) {
	report, current := n.report(noWait)
	address := selector.selectAddress(n.candidates(), n.config.Boot.Now())
	n.calls.Go(func() {
		err := n.exchangeReport(ctx, address, report, current)
		select {
		case results <- callResult{sequence: report.GetSequence(), address: address, err: err}:
		case <-ctx.Done():
		}
	})
	return report.GetSequence(), address
}

func (n *Node) report(noWait bool) (*cellpb.Report, *incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastSequence++
	report := &cellpb.Report{
		Agent:    n.config.ID,
		Address:  n.config.Address,
		Process:  n.config.Process,
		Sequence: n.lastSequence,
		NoWait:   noWait,
	}
	if n.incarnation != nil {
		n.incarnation.report(report)
	}
	return report, n.incarnation
}

// candidates returns the addresses to report to, in order: the scheduler, the entry processes, then other agents.
func (n *Node) candidates() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []string
	if n.schedulerAddress != "" {
		candidates = append(candidates, n.schedulerAddress)
	}
	candidates = append(candidates, n.entryAddresses...)
	relayAgents := 0
	for _, agent := range n.agentAddresses {
		if agent != n.config.Address && relayAgents < maxRelayAgents {
			candidates = append(candidates, agent)
			relayAgents++
		}
	}
	return candidates
}

var errNoScheduler = errors.New("no scheduler known")

func (n *Node) exchangeReport(ctx context.Context, address string, report *cellpb.Report, current *incarnation) error {
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
	if err := n.config.Exchange(callCtx, address, request, reply); err != nil {
		if ctx.Err() == nil && callCtx.Err() != nil {
			// The connection may be broken without an error, so the next call must open a new one.
			n.config.Forget(address)
		}
		return err
	}
	orders := reply.GetOrders()
	n.updateAddresses(orders)
	if orders.GetEpoch() == 0 {
		return errNoScheduler
	}
	n.mu.Lock()
	isNewest := report.GetSequence() > n.lastAnswered
	n.lastAnswered = max(n.lastAnswered, report.GetSequence())
	if current != nil && current.epoch == orders.GetEpoch() && report.GetEpoch() == orders.GetEpoch() {
		current.removeDelivered(report)
	}
	n.mu.Unlock()
	if isNewest {
		n.applyOrders(ctx, orders)
	}
	return nil
}

// updateAddresses updates the known addresses from a reply.
func (n *Node) updateAddresses(orders *cellpb.Orders) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if orders.GetScheduler() != "" && orders.GetEpoch() >= n.epoch {
		n.schedulerAddress = orders.GetScheduler()
	}
	for _, entry := range orders.GetEntries() {
		if !slices.Contains(n.entryAddresses, entry) {
			n.entryAddresses = append(n.entryAddresses, entry)
		}
	}
	if len(orders.GetAgents()) > 0 {
		n.agentAddresses = orders.GetAgents()
	}
}

// Forward forwards another agent's report to the scheduler. It rejects a report that was forwarded before.
func (n *Node) Forward(ctx context.Context, request *cellpb.Request) *cellpb.Reply {
	report := request.GetReport()
	if report == nil || report.GetHops() > 0 {
		return &cellpb.Reply{
			Error: "not for an agent",
		}
	}
	n.mu.Lock()
	schedulerAddress := n.schedulerAddress
	n.mu.Unlock()
	report.Hops++
	reply := &cellpb.Reply{}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := n.config.Exchange(ctx, schedulerAddress, request, reply); err != nil {
		n.config.Logger.Warn("failed to forward report",
			"agent", report.GetAgent(), "scheduler", schedulerAddress, "error", err)
		return &cellpb.Reply{
			Body: &cellpb.Reply_Orders{
				Orders: &cellpb.Orders{},
			},
		}
	}
	return reply
}
