package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
)

// maxUrgentStart is the promised time in which urgent work starts.
const maxUrgentStart = 1300 * time.Millisecond

// forgetfulExecutor leaves the first requests of each kind that come after an order unanswered.
type forgetfulExecutor struct {
	mu                    sync.Mutex
	ordered               bool
	lostStarts, lostHolds int
	startedAt             time.Time
	clock                 func() time.Time
}

func (e *forgetfulExecutor) hold(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error) {
	answer := clockwork.NewRealClock().After(hold.Wait)
	if e.losesHold() {
		answer = nil
	}
	select {
	case <-ctx.Done():
		return cell.Inventory{}, fmt.Errorf("hold: %w", cell.ErrOutcomeUnknown)
	case <-answer:
	}
	return cell.Inventory{
		Born: 1,
	}, nil
}

func (e *forgetfulExecutor) losesHold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ordered || e.lostHolds == 0 {
		return false
	}
	e.lostHolds--
	return true
}

func (e *forgetfulExecutor) start(ctx context.Context, _ cell.TaskStart) error {
	if e.losesStart() {
		<-ctx.Done()
		return fmt.Errorf("start: %w", cell.ErrOutcomeUnknown)
	}
	return nil
}

// losesStart reports whether a start is lost, and records when the first other one came.
func (e *forgetfulExecutor) losesStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lostStarts == 0 {
		if e.startedAt.IsZero() {
			e.startedAt = e.clock()
		}
		return false
	}
	e.lostStarts--
	return true
}

func (e *forgetfulExecutor) beginLosing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordered = true
}

// TestLostOrdersDelayStartsLittle guards against work that waits for seconds beside an idle executor that leaves a few
// orders unanswered (atem-radish-large, SHORT).
func TestLostOrdersDelayStartsLittle(t *testing.T) {
	tests := []struct {
		name                  string
		lostStarts, lostHolds int
	}{
		{name: "none is lost"},
		{name: "a start", lostStarts: 1},
		{name: "two starts", lostStarts: 2},
		{name: "a start and a hold", lostStarts: 1, lostHolds: 1},
		{name: "two starts and two holds", lostStarts: 2, lostHolds: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				executor := &forgetfulExecutor{
					lostStarts: test.lostStarts,
					lostHolds:  test.lostHolds,
				}
				c := newTestController(ExecutorClient{
					Hold:  executor.hold,
					Start: executor.start,
				})
				executor.clock = c.config.Clock.Now
				stop := startHoldLoop(t, c)
				<-c.config.Clock.After(idleHoldWait / 10)
				executor.beginLosing()
				orderedAt := c.config.Clock.Now()
				orderStart(t.Context(), c, false)
				c.orders.Wait()
				require.Less(t, executor.startedAt.Sub(orderedAt), maxUrgentStart)
				stop()
			})
		})
	}
}
