package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// relays is how many other agents are tried when no entry answers.
const relays = 3

const (
	// retryTarget is how long an address that didn't answer is passed over, retryNobody one that knew no scheduler: the
	// next scheduler may be known at any moment.
	retryTarget = 2 * time.Second
	retryNobody = 150 * time.Millisecond
)

// targets chooses where reports go.
type targets struct {
	// until is when an address that failed is tried again.
	until map[string]time.Duration
}

// choose returns the first candidate that may be tried, else the one that may be tried soonest.
func (t *targets) choose(candidates []string, now time.Duration) string {
	soonest := ""
	for _, candidate := range candidates {
		if now >= t.until[candidate] {
			return candidate
		}
		if soonest == "" || t.until[candidate] < t.until[soonest] {
			soonest = candidate
		}
	}
	return soonest
}

// settle takes note of how a call to an address ended.
func (t *targets) settle(address string, err error, now time.Duration) {
	switch {
	case err == nil:
		delete(t.until, address)
	case errors.Is(err, errNoScheduler):
		t.until[address] = now + retryNobody
	default:
		t.until[address] = now + retryTarget
	}
}

// callResult is how a call to the scheduler ended.
type callResult struct {
	sequence uint64
	address  string
	err      error
}

// reportLoop keeps one call waiting for orders at the scheduler, and makes another as soon as there is news.
func (n *Node) reportLoop(ctx context.Context) {
	to := &targets{
		until: map[string]time.Duration{},
	}
	results := make(chan callResult, 1)
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	retry := true
	for ctx.Err() == nil {
		sequence, address := n.call(calls, to, retry, results)
		retry = n.awaitCall(ctx, to, results, sequence, address)
	}
}

// awaitCall waits for the end of the newest call or for news, and reports whether the next call must not wait.
func (n *Node) awaitCall(
	ctx context.Context, to *targets, results <-chan callResult, sequence uint64, address string,
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-n.wakeReport:
			return false
		case <-n.config.Clock.After(callLimit + reportInterval):
			return true
		case result := <-results:
			to.settle(result.address, result.err, n.config.Boot.Now())
			if result.err != nil {
				n.config.Logger.Warn("report failed", "address", result.address, "error", result.err)
			}
			if result.sequence < sequence && result.address == address {
				continue
			}
			if result.err != nil {
				n.pause(ctx, nil, callPause)
			}
			return result.err != nil
		}
	}
}

// call sends a report in the background.
func (n *Node) call(ctx context.Context, to *targets, retry bool, results chan<- callResult) (uint64, string) {
	report, current := n.report(retry)
	address := to.choose(n.candidates(), n.config.Boot.Now())
	n.calls.Go(func() {
		err := n.exchange(ctx, address, report, current)
		select {
		case results <- callResult{sequence: report.GetSequence(), address: address, err: err}:
		case <-ctx.Done():
		}
	})
	return report.GetSequence(), address
}

func (n *Node) report(retry bool) (*cellpb.Report, *life) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	report := &cellpb.Report{
		Agent:    n.config.ID,
		Address:  n.config.Address,
		Process:  n.config.Process,
		Sequence: n.sequence,
		NoWait:   retry,
	}
	if n.life != nil {
		n.life.report(report)
	}
	return report, n.life
}

// candidates are the addresses that may take a report: the scheduler, the entries, then other agents.
func (n *Node) candidates() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []string
	if n.scheduler != "" {
		candidates = append(candidates, n.scheduler)
	}
	candidates = append(candidates, n.entries...)
	others := 0
	for _, agent := range n.agents {
		if agent != n.config.Address && others < relays {
			candidates = append(candidates, agent)
			others++
		}
	}
	return candidates
}

var errNoScheduler = errors.New("no scheduler")

func (n *Node) exchange(ctx context.Context, address string, report *cellpb.Report, current *life) error {
	if address == "" {
		return errNoScheduler
	}
	limit, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	reply := &cellpb.Reply{}
	request := &cellpb.Request{
		Body: &cellpb.Request_Report{
			Report: report,
		},
	}
	if err := n.config.Exchange(limit, address, request, reply); err != nil {
		if ctx.Err() == nil && limit.Err() != nil {
			// The connection may be silent for good.
			n.config.Forget(address)
		}
		return err
	}
	orders := reply.GetOrders()
	n.learn(orders)
	if orders.GetEpoch() == 0 {
		return errNoScheduler
	}
	n.mu.Lock()
	fresh := report.GetSequence() > n.answered
	n.answered = max(n.answered, report.GetSequence())
	if current != nil && current.epoch == orders.GetEpoch() && report.GetEpoch() == orders.GetEpoch() {
		current.reported(report)
	}
	n.mu.Unlock()
	if fresh {
		n.obey(ctx, orders)
	}
	return nil
}

// learn takes over who else is there.
func (n *Node) learn(orders *cellpb.Orders) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if orders.GetScheduler() != "" && orders.GetEpoch() >= n.epoch {
		n.scheduler = orders.GetScheduler()
	}
	for _, entry := range orders.GetEntries() {
		if !slices.Contains(n.entries, entry) {
			n.entries = append(n.entries, entry)
		}
	}
	if len(orders.GetAgents()) > 0 {
		n.agents = orders.GetAgents()
	}
}

// Forward passes a call on to the scheduler, once.
func (n *Node) Forward(ctx context.Context, request *cellpb.Request) *cellpb.Reply {
	report := request.GetReport()
	if report == nil || report.GetHops() > 0 {
		return &cellpb.Reply{
			Error: "not for an agent",
		}
	}
	n.mu.Lock()
	scheduler := n.scheduler
	n.mu.Unlock()
	report.Hops++
	reply := &cellpb.Reply{}
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	if err := n.config.Exchange(ctx, scheduler, request, reply); err != nil {
		n.config.Logger.Warn("forward", "agent", report.GetAgent(), "scheduler", scheduler, "error", err)
		return &cellpb.Reply{
			Body: &cellpb.Reply_Orders{
				Orders: &cellpb.Orders{},
			},
		}
	}
	return reply
}
