// Package follow reads a keyed log from its newest records on and keeps up with it by long polls. It remembers when the
// last read that reached the end was sent, so that its users know how old their knowledge may be.
//
// # Usage
//
//	follower := follow.New(follow.Config{
//		Newest: topic.Newest,
//		Read:   topic.Read,
//		Apply:  apply,
//	})
//	err := follower.Run(ctx)
package follow

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
	// answerLimit is how long an answer may take beyond the poll's wait; a slower log counts as silent.
	answerLimit = 1200 * time.Millisecond
	firstPause  = 20 * time.Millisecond
	maxPause    = 300 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Name   string
	Logger hclog.Logger
	Clock  clockwork.Clock
	Boot   boottime.Clock
	// Wait is how long one poll waits for a record.
	Wait   time.Duration
	Newest func(ctx context.Context) (cell.Page, error)
	Read   func(ctx context.Context, from int64, wait time.Duration) (cell.Page, error)
	// Apply takes entries in order. With reset, they replace everything applied before.
	Apply func(entries []cell.Entry, reset bool)
}

// Follower follows one log.
type Follower struct {
	config Config
	mu     sync.Mutex
	// confirmed is when the last read that reached the end was sent; 0 before the first.
	confirmed time.Duration
	next      int64
	lost      bool
	changed   chan struct{}
}

// New returns a follower.
func New(config Config) *Follower {
	return &Follower{
		config:  config,
		changed: make(chan struct{}),
	}
}

// Age returns how old the knowledge of the log may be; false before the first read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == 0 {
		return 0, false
	}
	return f.config.Boot.Now() - f.confirmed, true
}

// Next returns the offset up to which the log was applied.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstPause
	reload := true
	for ctx.Err() == nil {
		var err error
		if reload {
			err = f.reload(ctx)
			reload = err != nil
		} else {
			err = f.poll(ctx)
			reload = errors.Is(err, cell.ErrTruncated)
		}
		if err == nil {
			pause = firstPause
			f.regained()
			continue
		}
		f.failed(ctx, err)
		select {
		case <-ctx.Done():
		case <-f.config.Clock.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
	return nil
}

// Await waits until the log was applied beyond an offset.
func (f *Follower) Await(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		reached, changed := f.next > offset, f.changed
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
	sent := f.config.Boot.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*answerLimit)
	defer cancel()
	page, err := f.config.Newest(ctx)
	if err != nil {
		return err
	}
	f.config.Apply(page.Entries, true)
	f.advance(page.End, sent, true)
	return nil
}

func (f *Follower) poll(ctx context.Context) error {
	from := f.Next()
	sent := f.config.Boot.Now()
	ctx, cancel := context.WithTimeout(ctx, f.config.Wait+answerLimit)
	defer cancel()
	page, err := f.config.Read(ctx, from, f.config.Wait)
	if err != nil {
		return err
	}
	next := from + int64(len(page.Entries))
	f.config.Apply(page.Entries, false)
	f.advance(next, sent, next >= page.End)
	return nil
}

func (f *Follower) advance(next int64, sent time.Duration, atEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
	if atEnd {
		f.confirmed = sent
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) failed(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.config.Logger.Warn("log lost", "log", f.config.Name, "next", f.next, "error", err)
}

func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		return
	}
	f.lost = false
	f.config.Logger.Info("log regained", "log", f.config.Name, "next", f.next)
}
