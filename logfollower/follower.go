// Package logfollower replicates a keyed log: it loads the newest record of each key and then reads new records by long
// polling. It tracks when the last read that reached the end was sent, which bounds the age of the local copy.
//
// # Usage
//
//	follower := logfollower.New(logfollower.Config{
//		ReadLatest: topic.ReadLatest,
//		Read:       topic.Read,
//		Apply:      apply,
//	})
//	err := follower.Run(ctx)
package logfollower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
)

const (
	// responseTimeout is how long the response to a poll may take beyond the poll's wait; a slower log counts as
	// unreachable.
	responseTimeout = 1200 * time.Millisecond
	initialBackoff  = 20 * time.Millisecond
	maxBackoff      = 300 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Name     string
	Logger   hclog.Logger
	Clock    clockwork.Clock
	BootTime boottime.Clock
	// Wait is how long one poll waits for a record.
	Wait       time.Duration
	ReadLatest func(ctx context.Context) (cell.Page, error)
	Read       func(ctx context.Context, from int64, wait time.Duration) (cell.Page, error)
	// Apply receives records in order. With reset, they replace everything applied before.
	Apply func(records []cell.LogRecord, reset bool)
	// Pause returns how long to wait after a poll that returned records, so that the next one returns more at once; nil
	// means no pause. AwaitOffset ends a pause.
	Pause func() time.Duration
}

// Follower follows one log.
type Follower struct {
	config Config
	mu     sync.Mutex
	// lastConfirmed is when the last read that reached the end of the log was sent; 0 before the first.
	lastConfirmed time.Duration
	nextOffset    int64
	readFailing   bool
	changed       chan struct{}
	// waiters counts the pending calls of AwaitOffset; awaited holds a value when there is a new one.
	waiters int
	awaited chan struct{}
}

// New returns a follower.
func New(config Config) *Follower {
	return &Follower{
		config:  config,
		changed: make(chan struct{}),
		awaited: make(chan struct{}, 1),
	}
}

// Age returns the time since the local copy was last known to be up to date; false before the first read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastConfirmed == 0 {
		return 0, false
	}
	return f.config.BootTime.Now() - f.lastConfirmed, true
}

// NextOffset returns the offset of the next record to apply.
func (f *Follower) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := initialBackoff
	reload := true
	for ctx.Err() == nil {
		var err error
		records := 0
		if reload {
			err = f.reload(ctx)
			reload = err != nil
		} else {
			records, err = f.poll(ctx)
			reload = errors.Is(err, cell.ErrCompacted)
		}
		if err == nil {
			backoff = initialBackoff
			f.recordSuccess()
			f.pause(ctx, records)
			continue
		}
		f.recordFailure(ctx, err)
		select {
		case <-ctx.Done():
		case <-f.config.Clock.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// AwaitOffset waits until the record at an offset was applied.
func (f *Follower) AwaitOffset(ctx context.Context, offset int64) error {
	f.addWaiter(1)
	defer f.addWaiter(-1)
	select {
	case f.awaited <- struct{}{}:
	default:
	}
	for {
		f.mu.Lock()
		reached, changed := f.nextOffset > offset, f.changed
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("await offset %d: %w", offset, context.Cause(ctx))
		case <-changed:
		}
	}
}

func (f *Follower) reload(ctx context.Context) error {
	sentAt := f.config.BootTime.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*responseTimeout)
	defer cancel()
	page, err := f.config.ReadLatest(ctx)
	if err != nil {
		return err
	}
	f.config.Apply(page.Records, true)
	f.advance(page.End, sentAt, true)
	return nil
}

// poll reads new records and returns their number.
func (f *Follower) poll(ctx context.Context) (int, error) {
	from := f.NextOffset()
	sentAt := f.config.BootTime.Now()
	ctx, cancel := context.WithTimeout(ctx, f.config.Wait+responseTimeout)
	defer cancel()
	page, err := f.config.Read(ctx, from, f.config.Wait)
	if err != nil {
		return 0, err
	}
	nextOffset := from + int64(len(page.Records))
	f.config.Apply(page.Records, false)
	f.advance(nextOffset, sentAt, nextOffset >= page.End)
	return len(page.Records), nil
}

// pause waits after a poll that returned records, unless a caller waits for an offset.
func (f *Follower) pause(ctx context.Context, records int) {
	if records == 0 || f.config.Pause == nil {
		return
	}
	pause := f.config.Pause()
	f.mu.Lock()
	waiters := f.waiters
	f.mu.Unlock()
	if pause <= 0 || waiters > 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.awaited:
	case <-f.config.Clock.After(pause):
	}
}

func (f *Follower) addWaiter(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters += change
}

func (f *Follower) advance(nextOffset int64, sentAt time.Duration, atEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset = nextOffset
	if atEnd {
		f.lastConfirmed = sentAt
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readFailing || ctx.Err() != nil {
		return
	}
	f.readFailing = true
	f.config.Logger.Warn("reading the log failed; retrying", "log", f.config.Name, "next", f.nextOffset, "error", err)
}

func (f *Follower) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readFailing {
		return
	}
	f.readFailing = false
	f.config.Logger.Info("reading the log succeeded after retries", "log", f.config.Name, "next", f.nextOffset)
}
