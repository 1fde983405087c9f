package agent

import (
	"context"
	"fmt"
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
	ordered               bool
	lostStarts, lostHolds int
	startedAt             time.Time
	clock                 func() time.Time
}

func (e *forgetfulExecutor) hold(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error) {
	lost := e.ordered && e.lostHolds > 0
	if lost {
		e.lostHolds--
	}
	timeout := clockwork.NewRealClock().After(hold.Wait)
	if lost {
		timeout = nil
	}
	select {
	case <-ctx.Done():
		return cell.Inventory{}, fmt.Errorf("hold: %w", cell.ErrOutcomeUnknown)
	case <-timeout:
	}
	return cell.Inventory{
		Born: 1,
	}, nil
}

func (e *forgetfulExecutor) start(ctx context.Context, _ cell.TaskStart) error {
	if e.lostStarts > 0 {
		e.lostStarts--
		<-ctx.Done()
		return fmt.Errorf("start: %w", cell.ErrOutcomeUnknown)
	}
	if e.startedAt.IsZero() {
		e.startedAt = e.clock()
	}
	return nil
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
				executor.ordered = true
				orderedAt := c.config.Clock.Now()
				orderStart(t.Context(), c, false)
				c.orders.Wait()
				require.Less(t, executor.startedAt.Sub(orderedAt), maxUrgentStart)
				stop()
			})
		})
	}
}
