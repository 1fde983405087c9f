package scheduler

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/mirror"
)

const (
	// producerName is the producer name in the scheduler's fenced appends to the cell's log.
	producerName = "scheduler"
	// heartbeatInterval is the longest time between two appends of the scheduler. An idle scheduler appends its claim
	// again.
	heartbeatInterval = 300 * time.Millisecond
	// leaderTimeout is the time without a record from the scheduler after which an entry claims leadership.
	leaderTimeout = time.Second
	// leaderProbeTimeout is the time without a record from the scheduler after which its liveness is probed.
	leaderProbeTimeout = 400 * time.Millisecond
	// maxLogAge is the greatest age of the local copy of the log at which the process may claim leadership. A claim is
	// conditional on the end of the log, so it fails if the process can't read the log. On an idle log, a poll confirms
	// the end every second.
	maxLogAge = 2 * time.Second
	// maxClaimDelay is the claim delay of a process without any CPU share.
	maxClaimDelay = 400 * time.Millisecond
	// claimCatchUpTimeout is how long a claim that failed because the log has newer records waits to read them.
	claimCatchUpTimeout = 400 * time.Millisecond
	// confirmationValidity is how long after its last confirmed append the scheduler keeps extending leases.
	confirmationValidity = 3 * time.Second
	// tickInterval is how often deadlines are checked.
	tickInterval = 100 * time.Millisecond
	// maxReportWait is how long a report waits for new orders before it is answered.
	maxReportWait = time.Second
	// maxReportsPerCycle is the maximum number of queued reports accepted before the next scheduling cycle.
	maxReportsPerCycle = 64
	// maxRelayAgents is the maximum number of agents listed in each reply. An agent that can't reach any entry sends its
	// reports through one of them.
	maxRelayAgents = 4
	// maxAppendTimeout bounds one append.
	maxAppendTimeout = 3 * time.Second
	// initialAppendBackoff and maxAppendBackoff bound the delay after an append that was rejected.
	initialAppendBackoff = 20 * time.Millisecond
	maxAppendBackoff     = 300 * time.Millisecond
	// maxCallBytes bounds the records of one append, each with recordOverhead. The cell's log takes 2,097,152 bytes in a
	// call; the difference leaves room for another encoding.
	maxCallBytes = 1_900_000
	// recordOverhead is the size of a record in an append beyond its key and value, in bytes, at most.
	recordOverhead = 16
	// adviceTimeout bounds one request to the advice service, which handles one at a time from each machine.
	adviceTimeout = 5 * time.Second
)

// Config configures a Scheduler.
type Config struct {
	// Holder is unique to one run of the process.
	Holder string
	// Cores is this process's CPU share in cores. Processes with less than one core delay their claims, so that a
	// larger one becomes the scheduler.
	Cores float64
	// Address is where this entry serves the peer protocol.
	Address  string
	Logger   hclog.Logger
	Clock    clockwork.Clock
	BootTime boottime.Clock
	Metrics  tally.Scope
	Mirror   *mirror.Mirror
	// Age returns the time since the local copy of the cell's log was last known to be up to date; false before the first
	// read.
	Age func() (time.Duration, bool)
	// NextOffset returns the offset up to which the mirror has read the cell's log.
	NextOffset func() int64
	// AwaitOffset waits until the mirror has applied the record at an offset.
	AwaitOffset func(ctx context.Context, offset int64) error
	// HolderStopped reports whether the holder of a claim has certainly stopped scheduling.
	HolderStopped func(ctx context.Context, claim *cellpb.Claim) bool
	// RequestAdvice asks the advice service which executors may run a step, and returns a ticket for each of them and how
	// long the tickets are valid. It is nil if there is no such service.
	RequestAdvice func(ctx context.Context, step string, executors []string) (map[string]string, time.Duration, error)
	// Append appends records to the cell's log if the log ends at expectedEnd; -1 appends unconditionally.
	Append   func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error)
	Dispatch dispatch.Config
}
