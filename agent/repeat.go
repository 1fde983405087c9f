package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"radishpath.example/radishpath/cell"
)

// reply is the result of one of several equal requests to the executor.
type reply[T any] struct {
	value T
	err   error
}

// repeatUntilAnswered sends a request and sends it again every repeatDelay, the first time after delay, until one of
// the copies is answered or ctx ends. Each call of send makes one copy, numbered from 0. All copies are in flight
// together: one of them may be lost, or the executor may be slow to answer each.
func repeatUntilAnswered[T any](
	ctx context.Context, c *Controller, delay time.Duration, send func(ctx context.Context, attempt int) (T, error),
) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply[T])
	sendCopy := func(attempt int) {
		c.calls.Go(func() {
			value, err := send(ctx, attempt)
			select {
			case replies <- reply[T]{value: value, err: err}:
			case <-ctx.Done():
			}
		})
	}
	sendCopy(0)
	for sent, pending := 1, 1; ; {
		select {
		case <-ctx.Done():
			var none T
			return none, fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, context.Cause(ctx))
		case received := <-replies:
			pending--
			if pending == 0 || isAnswer(received.err) {
				return received.value, received.err
			}
		case <-c.config.Clock.After(delay):
			delay = repeatDelay
			sendCopy(sent)
			sent++
			pending++
		}
	}
}

// isAnswer reports whether the outcome of a request is known.
func isAnswer(err error) bool {
	return !errors.Is(err, cell.ErrOutcomeUnknown) || errors.Is(err, cell.ErrNotListening)
}
