package gateway

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/mirror"
)

const (
	// replyMargin is the part of the caller's timeout that is reserved for sending the reply.
	replyMargin = 200 * time.Millisecond
	// initialAppendTimeout bounds the first append; it doubles after each attempt whose outcome is unknown.
	initialAppendTimeout = 600 * time.Millisecond
	// rejectionRetryWindow is how long appends that the store rejects are retried before the call is rejected.
	rejectionRetryWindow = time.Second
	appendRetryDelay     = 50 * time.Millisecond
	// lookupTimeout bounds the wait for an unknown job to appear: another entry may have just stored its record.
	lookupTimeout      = 300 * time.Millisecond
	lookupPollInterval = 20 * time.Millisecond
	// maxStateAge is the maximum age of the cell state for reporting that a job doesn't exist or how many jobs are
	// pending.
	maxStateAge = 2500 * time.Millisecond
	// maxReadyOperationsAge is the maximum age of the operators' configuration for the entry to be ready. Each poll
	// waits a second, so the configuration is up to 2 s old before the next poll confirms it.
	maxReadyOperationsAge = 2600 * time.Millisecond
	// StoreUnreachableAge is the age of the cell state above which the store counts as unreachable. The scheduler's
	// heartbeats keep the age far below.
	StoreUnreachableAge = 1500 * time.Millisecond
	// keyRevocationMargin is subtracted from Config.KeyRevocationLimit to get the maximum age of the configuration for
	// checking API keys.
	keyRevocationMargin = 300 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a temporary failure.
	defaultRetryAfter = time.Second
	// unschedulableRetryAfter is the Retry-After of a job that fits no executor: larger executors may register.
	unschedulableRetryAfter = 5 * time.Second
)

// Config configures a Gateway.
type Config struct {
	Logger   hclog.Logger
	Clock    clockwork.Clock
	BootTime boottime.Clock
	Metrics  tally.Scope
	Mirror   *mirror.Mirror
	// OperationsAge and StateAge return the maximum age of the data read from the operators' log and from the cell's
	// log; false before the first read.
	OperationsAge func() (time.Duration, bool)
	StateAge      func() (time.Duration, bool)
	// KeyRevocationLimit is the longest time for which a removed API key may still be accepted.
	KeyRevocationLimit time.Duration
	// Append appends records to the cell's log.
	Append func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error)
	// RelayAppend asks the other entries of the cell to append a record. Its errors are those of Append.
	RelayAppend func(ctx context.Context, request *cellpb.Append) error
}
