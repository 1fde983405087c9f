package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/mirror"
	"radishpath.example/radishpath/peer"
)

const (
	// forwardTimeout bounds the forwarding of an agent's report to the scheduler.
	forwardTimeout = 1500 * time.Millisecond
	// claimQueryAge is the age of the cell state at which other entries are asked for the scheduler's claim. The
	// scheduler's heartbeats keep the age well below.
	claimQueryAge = 700 * time.Millisecond
	// claimQueryInterval is the delay before each round of queries; claimQueryTimeout bounds one query.
	claimQueryInterval = 300 * time.Millisecond
	claimQueryTimeout  = 500 * time.Millisecond
)

// PeerServiceConfig configures a PeerService.
type PeerServiceConfig struct {
	// Address is this entry's address for the peer protocol.
	Address string
	// Seeds are the addresses of other entries that the settings name at startup.
	Seeds  []string
	Logger hclog.Logger
	Clock  clockwork.Clock
	// BootTime orders the failures of calls to other entries.
	BootTime boottime.Clock
	Mirror   *mirror.Mirror
	// StateAge returns the maximum age of the data read from the cell's log; false before the first read.
	StateAge func() (time.Duration, bool)
	// Report passes an agent's report to the scheduler in this process; false if it isn't the cell's active scheduler.
	Report func(ctx context.Context, report *cellpb.Report) (*cellpb.Orders, bool)
	// Explain asks the scheduler in this process what would become of a job; false if it isn't the cell's scheduler.
	Explain func(ctx context.Context, request *cellpb.Explain) (*cellpb.Explanation, bool)
	// Leading returns the epoch in which this process is the active scheduler, 0 if it isn't.
	Leading func() int64
	// NextOperationsOffset returns the offset of the next record of the operators' log that this process will apply.
	NextOperationsOffset func() int64
	// Append appends records to the cell's log.
	Append func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error)
	// Call sends a request of the peer protocol and reads the reply.
	Call func(ctx context.Context, address string, request, reply proto.Message) error
}

// PeerService serves the peer protocol to agents and other entries, and calls other entries.
type PeerService struct {
	config PeerServiceConfig
	// seedsMu guards seeds, the addresses of other entries that the settings name.
	seedsMu sync.Mutex
	seeds   []string
	// relays and claimQueries order the other entries for relayed appends and for queries of the claim.
	relays       *peer.Selector
	claimQueries *peer.Selector
}

// NewPeerService returns a PeerService.
func NewPeerService(config PeerServiceConfig) *PeerService {
	return &PeerService{
		config:       config,
		seeds:        config.Seeds,
		relays:       peer.NewSelector(),
		claimQueries: peer.NewSelector(),
	}
}

// Handle handles a request of the peer protocol.
func (p *PeerService) Handle(ctx context.Context, request *cellpb.Request) *cellpb.Reply {
	switch body := request.GetBody().(type) {
	case *cellpb.Request_Report:
		return p.report(ctx, request, body.Report)
	case *cellpb.Request_Append:
		return p.append(ctx, body.Append)
	case *cellpb.Request_Explain:
		return p.explain(ctx, request, body.Explain)
	case *cellpb.Request_Ask:
		claim, _ := p.config.Mirror.Claim()
		return &cellpb.Reply{
			Leading:    p.config.Leading(),
			Operations: p.config.NextOperationsOffset(),
			Body: &cellpb.Reply_Claim{
				Claim: claim,
			},
		}
	}
	return &cellpb.Reply{
		Error: "unknown request",
	}
}

// RelayAppend asks the other entries of the cell, one after the other, to append a record to the cell's log. It starts
// with those at which no append has failed or one failed longest ago: one that doesn't answer may take all the time,
// and the others would never be asked.
func (p *PeerService) RelayAppend(ctx context.Context, request *cellpb.Append) error {
	joinedErr := error(nil)
	for _, address := range p.relays.Order(p.otherEntries()) {
		reply := &cellpb.Reply{}
		err := p.config.Call(ctx, address, &cellpb.Request{Body: &cellpb.Request_Append{Append: request}}, reply)
		stored := err == nil && reply.GetAppended().GetStored()
		p.recordCall(p.relays, address, stored)
		switch {
		case stored:
			return nil
		case errors.Is(err, peer.ErrNotSent), err == nil && reply.GetError() == "":
			joinedErr = errors.Join(joinedErr, fmt.Errorf("%s: %w", address, cell.ErrRejected))
		default:
			joinedErr = errors.Join(joinedErr,
				fmt.Errorf("%s: %s: %w: %w", address, reply.GetError(), cell.ErrOutcomeUnknown, err))
		}
		if ctx.Err() != nil {
			break
		}
	}
	if joinedErr == nil {
		return fmt.Errorf("relay: no other entry is known: %w", cell.ErrRejected)
	}
	if errors.Is(joinedErr, cell.ErrOutcomeUnknown) {
		return fmt.Errorf("relay: %w", cell.ErrOutcomeUnknown)
	}
	return joinedErr
}

// SetSeeds replaces the addresses of other entries that the settings name.
func (p *PeerService) SetSeeds(addresses []string) {
	p.seedsMu.Lock()
	defer p.seedsMu.Unlock()
	p.seeds = addresses
}

// recordCall records whether a call to an entry succeeded. One that failed comes after those that didn't, and after
// those that failed earlier.
func (p *PeerService) recordCall(selector *peer.Selector, address string, succeeded bool) {
	if succeeded {
		selector.RecordSuccess(address)
		return
	}
	selector.RecordFailure(address, p.config.BootTime.Now())
}

// WatchClaim asks the other entries for the scheduler's claim while this entry can't read the cell's log, until ctx
// ends. In this way a scheduler that can't reach the store learns that it was replaced, and redirects its agents.
func (p *PeerService) WatchClaim(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.Clock.After(claimQueryInterval):
		}
		if age, ok := p.config.StateAge(); ok && age < claimQueryAge {
			continue
		}
		for _, address := range p.claimQueries.Order(p.otherEntries()) {
			reply, err := p.queryClaim(ctx, address)
			p.recordCall(p.claimQueries, address, err == nil)
			if err != nil {
				p.config.Logger.Debug("failed to query claim", "address", address, "error", err)
				continue
			}
			p.config.Mirror.SetPeerClaim(reply.GetClaim())
		}
	}
}

// HolderStopped reports whether the holder of a claim has certainly stopped scheduling: its process no longer runs, or
// it reports another epoch or none.
func (p *PeerService) HolderStopped(ctx context.Context, claim *cellpb.Claim) bool {
	if claim.GetAddress() == p.config.Address {
		// The claim is of an earlier process at this address.
		return true
	}
	reply, err := p.queryClaim(ctx, claim.GetAddress())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.GetLeading() != claim.GetEpoch()
}

// queryClaim asks an entry for the newest claim that it knows and for the epoch in which it schedules itself.
func (p *PeerService) queryClaim(ctx context.Context, address string) (*cellpb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
	defer cancel()
	reply := &cellpb.Reply{}
	request := &cellpb.Request{
		Body: &cellpb.Request_Ask{
			Ask: &cellpb.Ask{},
		},
	}
	return reply, p.config.Call(ctx, address, request, reply)
}

func (p *PeerService) append(ctx context.Context, request *cellpb.Append) *cellpb.Reply {
	_, err := p.config.Append(ctx, []cell.LogRecord{{Key: request.GetKey(), Value: request.GetValue()}}, nil, -1)
	reply := &cellpb.Reply{
		Body: &cellpb.Reply_Appended{
			Appended: &cellpb.Appended{
				Stored: err == nil,
			},
		},
	}
	if err != nil && !errors.Is(err, cell.ErrRejected) {
		reply.Error = err.Error()
	}
	return reply
}

func (p *PeerService) report(ctx context.Context, request *cellpb.Request, report *cellpb.Report) *cellpb.Reply {
	orders, ok := p.config.Report(ctx, report)
	if ok {
		return ordersReply(orders)
	}
	claim, _ := p.config.Mirror.Claim()
	if report.GetHops() > 0 || claim.GetAddress() == p.config.Address || claim.GetResigned() {
		return ordersReply(p.noSchedulerOrders())
	}
	report.Hops++
	reply := &cellpb.Reply{}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := p.config.Call(ctx, claim.GetAddress(), request, reply); err != nil {
		p.config.Logger.Warn("failed to forward report", "agent", report.GetAgent(), "scheduler", claim.GetAddress(),
			"error", err)
		return ordersReply(p.noSchedulerOrders())
	}
	return reply
}

// noSchedulerOrders returns the reply to a report while no scheduler is reachable: the other entries to try.
func (p *PeerService) noSchedulerOrders() *cellpb.Orders {
	return &cellpb.Orders{
		Entries: p.otherEntries(),
	}
}

func (p *PeerService) otherEntries() []string {
	var memberAddresses []string
	p.config.Mirror.View(func(state *cell.State) { memberAddresses = slices.Sorted(maps.Values(state.Members())) })
	p.seedsMu.Lock()
	seeds := p.seeds
	p.seedsMu.Unlock()
	seen := map[string]bool{
		p.config.Address: true,
	}
	var otherEntries []string
	for _, address := range append(memberAddresses, seeds...) {
		if !seen[address] {
			seen[address] = true
			otherEntries = append(otherEntries, address)
		}
	}
	return otherEntries
}

func ordersReply(orders *cellpb.Orders) *cellpb.Reply {
	return &cellpb.Reply{
		Body: &cellpb.Reply_Orders{
			Orders: orders,
		},
	}
}
