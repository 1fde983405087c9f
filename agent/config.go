package agent

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
)

const (
	// busyHoldWait and idleHoldWait are how long the executor may delay its response to a hold until a run ends.
	// busyHoldWait applies while runs exist.
	busyHoldWait = 500 * time.Millisecond
	idleHoldWait = time.Second
	// startHoldWait applies while a start waits for its answer, which the inventory may replace.
	startHoldWait = 100 * time.Millisecond
	// orderTimeout bounds one order to the executor, which is on the same machine.
	orderTimeout = 600 * time.Millisecond
	// repeatDelay is how long an order stays unanswered before it counts as lost and is sent again. Orders are idempotent,
	// and an executor answers within a few milliseconds.
	repeatDelay     = 100 * time.Millisecond
	orderRetryDelay = 40 * time.Millisecond
	// silentAfterFailures is the number of failed holds in a row after which the executor is reported as silent. One
	// alone may be a lost response of a healthy executor.
	silentAfterFailures = 2
	// fenceRaiseInterval is the shortest time between two raises of a generation that the executor rejects.
	fenceRaiseInterval = 500 * time.Millisecond
	// maxStartDelay is how long after a start request the executor may start the run.
	maxStartDelay = 2500 * time.Millisecond
	// reportTimeout bounds a report to the scheduler, which delays its reply by up to a second.
	reportTimeout    = 1700 * time.Millisecond
	reportRetryDelay = 60 * time.Millisecond
	// reportInterval is added to reportTimeout to get the longest time between two reports.
	reportInterval = time.Second
	// forwardTimeout bounds a report forwarded for another agent.
	forwardTimeout = 1500 * time.Millisecond
	// lookupInterval is how long an agent is without a scheduler on average before it looks the scheduler up in the store
	// for the first time. lookupSpread is the fraction by which an interval may be shorter or longer, so that the agents
	// of a large cell stay under the store's limit of reads when they lose the scheduler together. The interval doubles
	// with each lookup, up to maxLookupInterval.
	lookupInterval    = 10 * time.Second
	lookupSpread      = 0.75
	maxLookupInterval = time.Minute
	lookupTimeout     = time.Second
	// maxHeartbeatAge is how long after the newest heartbeat of an incarnation late ones are ignored. It is several
	// heartbeat intervals.
	maxHeartbeatAge = 5 * time.Second
)

// ExecutorClient holds the calls to the executor.
type ExecutorClient struct {
	Hold  func(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error)
	Start func(ctx context.Context, start cell.TaskStart) error
	Stop  func(ctx context.Context, stop cell.TaskStop) error
}

// Config configures a Controller.
type Config struct {
	ID string
	// Address is the address at which this agent accepts reports of other agents, to forward them to the scheduler.
	Address string
	// Process identifies one run of the agent's process; later runs have greater values.
	Process int64
	// SeedAddresses contains the addresses of the entries that the settings name at startup.
	SeedAddresses []string
	Logger        hclog.Logger
	Clock         clockwork.Clock
	BootTime      boottime.Clock
	Executor      ExecutorClient
	// Call sends a request of the peer protocol and receives the reply.
	Call func(ctx context.Context, address string, request, reply proto.Message) error
	// LookupScheduler returns the address of the scheduler from the store; empty if the cell has none. Nil disables
	// lookups.
	LookupScheduler func(ctx context.Context) (string, error)
	// CloseSession closes the connection to an address.
	CloseSession func(address string)
}
