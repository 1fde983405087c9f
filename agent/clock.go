package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// jitterShare of an interval is added or taken away at random, so that many agents don't stay in step.
	jitterShare = 10
)

func newBackoff() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	wait.MaxInterval = maxBackoff
	return wait
}

// every calls f and waits for the interval, with jitter, until ctx ends. After an error it waits with backoff instead
// if that is longer.
func every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func(ctx context.Context) error) {
	retry := newBackoff()
	for ctx.Err() == nil {
		wait := jitter(interval)
		if err := f(ctx); err != nil {
			wait = max(wait, retry.NextBackOff())
		} else {
			retry.Reset()
		}
		_ = sleep(ctx, clock, wait)
	}
}

func jitter(interval time.Duration) time.Duration {
	spread := int64(interval) / jitterShare
	if spread <= 0 {
		return interval
	}
	return interval + time.Duration(rand.Int64N(2*spread)-spread) //nolint:gosec // jitter needs no secrecy.
}

// sleep waits and returns the reason if ctx ends first.
func sleep(ctx context.Context, clock clockwork.Clock, wait time.Duration) error {
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // the caller's own cause.
	}
}
