package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
)

// logLatency is how long a call to the log takes without faults.
const logLatency = 2 * time.Millisecond

// logEndpoint is an entry's access to the cell's log.
type logEndpoint struct {
	world *world
	name  string
	log   *cellLog
	gate  *gate
	mu    sync.Mutex
	// cut leaves all calls unanswered; loseAnswers carries appends out, at once or late, and leaves them unanswered;
	// reject rejects all calls.
	cut         bool
	loseAnswers bool
	reject      bool
}

func (e *logEndpoint) append(
	ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64,
) (int64, error) {
	e.gate.wait()
	defer e.gate.wait()
	if !e.world.sleep(ctx, logLatency) {
		return 0, unknownOutcome(ctx)
	}
	cut, loseAnswers, reject := e.faults()
	switch {
	case reject:
		return 0, cell.ErrRejected
	case loseAnswers && e.world.chance(0.7):
		delay := time.Duration(0)
		if e.world.chance(0.5) {
			delay = e.world.between(500*time.Millisecond, 5*time.Second)
		}
		e.world.spawn(func() {
			e.world.sleep(e.world.ctx, delay)
			_, err := e.log.append(records, fence, expectedEnd)
			e.world.journal.add(e.name, "append %v carried out after %s without an answer: %v", fence, delay, err)
		})
		<-ctx.Done()
		return 0, unknownOutcome(ctx)
	case cut:
		<-ctx.Done()
		return 0, unknownOutcome(ctx)
	}
	offset, err := e.log.append(records, fence, expectedEnd)
	e.world.sleep(ctx, logLatency)
	return offset, err
}

func (e *logEndpoint) readLatest(ctx context.Context) (cell.Page, error) {
	if err := e.beginRead(ctx); err != nil {
		return cell.Page{}, err
	}
	defer e.gate.wait()
	return e.log.newest(), nil
}

func (e *logEndpoint) read(ctx context.Context, from int64, wait time.Duration) (cell.Page, error) {
	if err := e.beginRead(ctx); err != nil {
		return cell.Page{}, err
	}
	defer e.gate.wait()
	readCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	page := e.log.read(readCtx, from)
	if cut, _, _ := e.faults(); cut {
		<-ctx.Done()
		return cell.Page{}, unknownOutcome(ctx)
	}
	return page, nil
}

func (e *logEndpoint) beginRead(ctx context.Context) error {
	e.gate.wait()
	if !e.world.sleep(ctx, logLatency) {
		return unknownOutcome(ctx)
	}
	cut, _, reject := e.faults()
	switch {
	case reject:
		return cell.ErrRejected
	case cut:
		<-ctx.Done()
		return unknownOutcome(ctx)
	}
	return nil
}

func (e *logEndpoint) faults() (cut, loseAnswers, reject bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut, e.loseAnswers, e.reject
}

func (e *logEndpoint) setFaults(cut, loseAnswers, reject bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut, e.loseAnswers, e.reject = cut, loseAnswers, reject
}

func unknownOutcome(ctx context.Context) error {
	return fmt.Errorf("%w: %w", cell.ErrOutcomeUnknown, context.Cause(ctx))
}
