package agent

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

const (
	// maxCleanups bounds what waits to be removed from worker and backend server.
	maxCleanups = 1024
	// cleanupTries is how often one removal is tried. What stays is found again after a restart of the agent, and
	// its owner then says that it no longer counts.
	cleanupTries = 5
)

// cleaner removes acknowledged work from worker and backend server.
type cleaner struct {
	clock  clockwork.Clock
	logger hclog.Logger
	queue  chan cleanup
}

type cleanup struct {
	remove func(ctx context.Context) error
	done   func()
}

func newCleaner(clock clockwork.Clock, logger hclog.Logger) *cleaner {
	return &cleaner{
		clock:  clock,
		logger: logger,
		queue:  make(chan cleanup, maxCleanups),
	}
}

// add queues a removal; done is called after it, whether it worked or not.
func (c *cleaner) add(remove func(ctx context.Context) error, done func()) {
	select {
	case c.queue <- cleanup{
		remove: remove,
		done:   done,
	}:
	default:
		c.logger.Warn("cleanup queue is full")
		done()
	}
}

func (c *cleaner) run(ctx context.Context) {
	for {
		select {
		case item := <-c.queue:
			c.clean(ctx, item)
		case <-ctx.Done():
			return
		}
	}
}

func (c *cleaner) clean(ctx context.Context, item cleanup) {
	defer item.done()
	retry := newBackoff()
	var err error
	for range cleanupTries {
		callCtx, cancel := clockwork.WithTimeout(ctx, c.clock, workerTimeout)
		err = item.remove(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = sleep(ctx, c.clock, retry.NextBackOff())
	}
	c.logger.Warn("remove acknowledged work", "error", err)
}
