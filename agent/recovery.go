package agent

import (
	"context"
	"errors"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

var errRecovering = errors.New("tasks and requests of an earlier run are not read back yet")

// recovery reads tasks and requests back after the agent's start. Until then nothing is known of earlier work.
type recovery struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	tasks    chan struct{}
	requests chan struct{}
}

func newRecovery(clock clockwork.Clock, logger hclog.Logger) *recovery {
	return &recovery{
		clock:    clock,
		logger:   logger,
		tasks:    make(chan struct{}),
		requests: make(chan struct{}),
	}
}

// await waits until everything is read back.
func (r *recovery) await(ctx context.Context) error {
	for _, read := range []chan struct{}{r.tasks, r.requests} {
		select {
		case <-read:
		case <-ctx.Done():
			return errRecovering
		}
	}
	return nil
}

// run calls read until it works, then closes done.
func (r *recovery) run(ctx context.Context, done chan struct{}, read func(ctx context.Context) error) {
	retry := newBackoff()
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			close(done)
			return
		}
		r.logger.Warn("read earlier work back", "error", err)
		_ = sleep(ctx, r.clock, retry.NextBackOff())
	}
}

// tasksRead reports whether the worker's tasks are known.
func (r *recovery) tasksRead() bool {
	select {
	case <-r.tasks:
		return true
	default:
		return false
	}
}
