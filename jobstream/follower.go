package jobstream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// defaultWait is how long a read waits for new records. It is well below the 1 s after which a read counts as
	// slow, and bounds the age of Status.Current on an idle log.
	defaultWait = 200 * time.Millisecond
	// defaultLimit is the number of batches per read.
	defaultLimit = 256
	// readTimeout ends a read that hangs. It is longer than slowRead, so that a follower of a slow log still advances.
	readTimeout = 10 * time.Second
	// The first retry is quick because a single lost read is the common case; the last interval bounds the time from
	// the return of the log to the next read.
	firstRetry = 20 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// expireInterval limits how often expired jobs are searched for: a search visits every remembered job, and a log may
// move its first offset with every append.
const expireInterval = time.Minute

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	Ledger *ledger.Ledger
	Read   ReadFunc
	// Observe receives every folded batch in the order of the log; it must not block.
	Observe func(offset int64, batch *peerpb.Batch, changes []ledger.Change)
	// Truncate receives the first offset of the log when records below it were lost unread; it must not block.
	Truncate func(first int64)
	// Wait and Limit are those of one read; zero means 200 ms and 256.
	Wait  time.Duration
	Limit int
}

// Follower reads the job stream from its first offset and folds it.
type Follower struct {
	config FollowerConfig
	mu     sync.Mutex
	status Status
	// expired is the time of the last search for expired jobs.
	expired time.Time
	// changed is closed and replaced whenever Status.Current grows.
	changed chan struct{}
}

// NewFollower returns a Follower.
func NewFollower(config FollowerConfig) *Follower {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Observe == nil {
		config.Observe = func(int64, *peerpb.Batch, []ledger.Change) {}
	}
	if config.Truncate == nil {
		config.Truncate = func(int64) {}
	}
	if config.Wait == 0 {
		config.Wait = defaultWait
	}
	if config.Limit == 0 {
		config.Limit = defaultLimit
	}
	return &Follower{
		config:  config,
		changed: make(chan struct{}),
	}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := newBackoff()
	for {
		err := f.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		if err == nil {
			retry.Reset()
			continue
		}
		f.config.Logger.Warn("read job stream", "error", err)
		sleep(ctx, f.config.Clock, retry.NextBackOff())
	}
}

// Status returns how current the follower is.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// WaitCurrent waits until everything appended before a time is folded, or ctx ends.
func (f *Follower) WaitCurrent(ctx context.Context, since time.Time) error {
	for {
		f.mu.Lock()
		current, changed := f.status.Current, f.changed
		f.mu.Unlock()
		if !current.IsZero() && !current.Before(since) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the end of the job stream: %w", context.Cause(ctx))
		case <-changed:
		}
	}
}

// begin notes the start of a read and returns it with the offset to read from.
func (f *Follower) begin() (time.Time, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Reading = f.config.Clock.Now()
	return f.status.Reading, f.status.Next
}

// finish notes the end of a read.
func (f *Follower) finish(began time.Time, atEnd bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Reading = time.Time{}
	f.status.Err = err
	f.status.Slow = f.config.Clock.Since(began) > slowRead
	if err != nil || !atEnd {
		return
	}
	f.status.Current = began
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) fold(record Record) {
	batch := &peerpb.Batch{}
	if err := proto.Unmarshal(record.Data, batch); err != nil {
		// The record has no effect for any reader.
		f.config.Logger.Error("decode batch", "offset", record.Offset, "error", err)
		f.setNext(record.Offset + 1)
		return
	}
	changes := f.config.Ledger.Apply(record.Offset, batch)
	f.setNext(record.Offset + 1)
	f.config.Observe(record.Offset, batch, changes)
}

func (f *Follower) read(ctx context.Context) error {
	began, from := f.begin()
	limited, cancel := withTimeout(ctx, f.config.Clock, readTimeout)
	defer cancel()
	first, next, records, err := f.config.Read(limited, from, f.config.Limit, f.config.Wait)
	if err == nil && next < from {
		err = fmt.Errorf("%w: next %d, read before %d", errLogShrunk, next, from)
	}
	if err != nil {
		err = fmt.Errorf("read from offset %d: %w", from, err)
		f.finish(began, false, err)
		return err
	}
	f.truncate(first, from)
	for _, record := range records {
		// A log may return records below the offset that was asked for.
		if record.Offset >= max(from, first) {
			f.fold(record)
		}
	}
	f.finish(began, f.Status().Next >= next, nil)
	return nil
}

func (f *Follower) setNext(next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Next = next
}

// truncate notes a new first offset of the log and forgets what lies below it.
func (f *Follower) truncate(first, from int64) {
	f.mu.Lock()
	now := f.config.Clock.Now()
	expire := first > f.status.First && now.Sub(f.expired) >= expireInterval
	if expire {
		f.expired = now
	}
	f.status.First = first
	lost := max(first-from, 0)
	f.status.Skipped += lost
	f.status.Next = max(f.status.Next, first)
	f.mu.Unlock()
	if expire {
		f.config.Ledger.Expire(first)
	}
	if lost > 0 {
		f.config.Ledger.Skip(first)
		f.config.Logger.Warn("skip truncated part of the job stream", "first", first, "from", from)
		f.config.Truncate(first)
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	return retry
}

// sleep waits until the time has passed or ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// withTimeout returns a context that ends after a time of the clock. The context of clockwork.WithTimeout is not used
// because its Err blocks until the context ends.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, func()) {
	limited, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return limited, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
