package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// identifiedExecutor answers holds for its id only, and names its start time.
type identifiedExecutor struct {
	mu    sync.Mutex
	id    string
	born  int64
	down  bool
	holds int
	fence int64
}

func (e *identifiedExecutor) hold(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error) {
	if err := e.accept(hold); err != nil {
		return cell.Inventory{}, err
	}
	if hold.Wait > 0 {
		select {
		case <-ctx.Done():
			return cell.Inventory{}, fmt.Errorf("hold: %w", cell.ErrOutcomeUnknown)
		case <-clockwork.NewRealClock().After(hold.Wait):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return cell.Inventory{
		Born: e.born,
	}, nil
}

func (e *identifiedExecutor) accept(hold cell.HoldRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return fmt.Errorf("hold: %w", cell.ErrOutcomeUnknown)
	case hold.Executor != e.id:
		return fmt.Errorf("hold: %w", cell.ErrOtherIncarnation)
	case hold.Fence < e.fence:
		return &cell.OrderRejectedError{Reason: reasonFence}
	}
	e.holds++
	e.fence = hold.Fence
	return nil
}

// update changes the executor while holds may be pending.
func (e *identifiedExecutor) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *identifiedExecutor) acceptedHolds() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holds
}

func (e *identifiedExecutor) heartbeat(sequence int64) cell.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cell.Heartbeat{
		Executor: &cellpb.Executor{
			Id:      e.id,
			Born:    e.born,
			Service: "desk",
			Zone:    "suva",
		},
		Sequence: sequence,
	}
}

// oddHeartbeat changes a heartbeat of the executor to one of another writer.
func oddHeartbeat(heartbeat cell.Heartbeat, change func(odd *cell.Heartbeat)) cell.Heartbeat {
	change(&heartbeat)
	return heartbeat
}

// TestOddHeartbeatsKeepExecutorInUse guards against an executor that is taken out of use by a heartbeat of another
// writer: a well-formed one under another id, of a served service or not, or under the executor's own id.
func TestOddHeartbeatsKeepExecutorInUse(t *testing.T) {
	own := &identifiedExecutor{
		id:   "i-1",
		born: 1000,
	}
	other := func(id string, born int64, service string, draining bool) cell.Heartbeat {
		return oddHeartbeat(own.heartbeat(1), func(odd *cell.Heartbeat) {
			odd.Executor.Id = id
			odd.Executor.Born = born
			odd.Executor.Service = service
			odd.Executor.Draining = draining
		})
	}
	late := oddHeartbeat(own.heartbeat(1<<40), func(*cell.Heartbeat) {})
	tests := []struct {
		name string
		odd  []cell.Heartbeat
	}{
		{name: "another id and a later start", odd: []cell.Heartbeat{other("i-2", 2000, "tents", false)}},
		{name: "another id and an earlier start", odd: []cell.Heartbeat{other("i-2", 500, "tents", false)}},
		{name: "a served service", odd: []cell.Heartbeat{other("i-2", 2000, "desk", false)}},
		{name: "draining", odd: []cell.Heartbeat{other("i-2", 2000, "desk", true)}},
		{name: "the own id and a later start", odd: []cell.Heartbeat{other("i-1", 2000, "desk", false)}},
		{name: "the own id and no start", odd: []cell.Heartbeat{other("i-1", 0, "desk", false)}},
		{name: "the own id, no start and draining", odd: []cell.Heartbeat{other("i-1", 0, "desk", true)}},
		{name: "the own id and draining", odd: []cell.Heartbeat{other("i-1", 1000, "desk", true)}},
		{name: "the own id and another service", odd: []cell.Heartbeat{other("i-1", 1000, "tents", false)}},
		{name: "the own id and a far later sequence number", odd: []cell.Heartbeat{late}},
		{
			name: "a leave notice",
			odd: []cell.Heartbeat{
				{Executor: &cellpb.Executor{Id: "i-1"}, ShuttingDown: true},
				{Executor: &cellpb.Executor{Id: "i-2"}, ShuttingDown: true},
			},
		},
		{
			name: "many in a row",
			odd: []cell.Heartbeat{
				other("i-2", 2000, "tents", false), other("i-3", 3000, "desk", true), other("i-1", 4000, "desk", false),
				other("i-4", 5000, "desk", false), other("i-5", 6000, "desk", false), other("i-6", 7000, "desk", false),
				other("i-7", 8000, "desk", false), other("i-8", 9000, "desk", false), other("i-9", 9500, "desk", false), late,
			},
		},
	}
	for _, test := range tests {
		for _, oddFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/odd first %t", test.name, oddFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkOddHeartbeats(t, test.odd, oddFirst) })
			})
		}
	}
}

// checkOddHeartbeats sends heartbeats of another writer among those of an executor, then restarts the executor.
func checkOddHeartbeats(t *testing.T, odd []cell.Heartbeat, oddFirst bool) {
	t.Helper()
	const (
		heartbeatInterval = 1500 * time.Millisecond
		rounds            = 8
	)
	executor := &identifiedExecutor{
		id:   "i-1",
		born: 1000,
	}
	clock := clockwork.NewRealClock()
	startedAt := clock.Now()
	c := New(Config{
		ID:       "agent-1",
		Logger:   hclog.NewNullLogger(),
		Clock:    clock,
		BootTime: boottime.Clock{Now: func() time.Duration { return clock.Since(startedAt) }},
		Executor: ExecutorClient{
			Hold: executor.hold,
		},
	})
	stop := startHoldLoop(t, c)
	sequence := int64(0)
	beat := func() {
		sequence++
		c.HandleHeartbeat(executor.heartbeat(sequence))
	}
	sendOdd := func() {
		for _, heartbeat := range odd {
			c.HandleHeartbeat(heartbeat)
		}
	}
	if oddFirst {
		sendOdd()
	}
	beat()
	sendOdd()
	for range rounds {
		synctest.Wait()
		report, _ := c.report(false)
		require.Equal(t, "i-1", report.GetExecutor().GetId())
		require.EqualValues(t, 1000, report.GetExecutor().GetBorn())
		<-c.config.Clock.After(heartbeatInterval)
		beat()
	}
	report, _ := c.report(false)
	require.Equal(t, "desk", report.GetExecutor().GetService())
	require.False(t, report.GetExecutor().GetDraining())
	require.False(t, report.GetExecutor().GetSilent())
	holds := executor.acceptedHolds()
	<-c.config.Clock.After(3 * idleHoldWait)
	require.Greater(t, executor.acceptedHolds(), holds, "leases are extended")

	executor.update(func() { executor.id, executor.born, executor.fence = "i-10", 3000, 0 })
	sequence = 0
	sendOdd()
	beat()
	sendOdd()
	synctest.Wait()
	report, _ = c.report(false)
	require.Equal(t, "i-10", report.GetExecutor().GetId(), "the true next incarnation is taken up at once")
	stop()
}

// startHoldLoop runs the hold loop. The returned function ends it and waits for its end.
func startHoldLoop(t *testing.T, c *Controller) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.holdLoop(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against a next incarnation that is forgotten, or holds that stop, because it doesn't answer the first request.
func TestUnansweredCandidateIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := &identifiedExecutor{
			id:   "i-1",
			born: 1000,
		}
		c := newTestController(ExecutorClient{
			Hold: executor.hold,
		})
		stop := startHoldLoop(t, c)
		synctest.Wait()
		executor.update(func() { executor.id, executor.born, executor.down = "i-2", 2000, true })
		c.HandleHeartbeat(executor.heartbeat(1))
		<-c.config.Clock.After(time.Second)
		report, _ := c.report(false)
		require.Equal(t, "i-1", report.GetExecutor().GetId())
		executor.update(func() { executor.down = false })
		<-c.config.Clock.After(2 * orderRetryDelay)
		report, _ = c.report(false)
		require.Equal(t, "i-2", report.GetExecutor().GetId())
		stop()
	})
}

// Guards against leases that lapse while an executor doesn't answer: each of many heartbeats of other writers would
// delay the next hold by a timeout.
func TestUnansweredCandidatesDelayHoldsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var holds []cell.HoldRequest
		c := newTestController(ExecutorClient{
			Hold: func(ctx context.Context, hold cell.HoldRequest) (cell.Inventory, error) {
				holds = append(holds, hold)
				<-ctx.Done()
				return cell.Inventory{}, fmt.Errorf("hold: %w", cell.ErrOutcomeUnknown)
			},
		})
		for i := range maxCandidates {
			odd := &identifiedExecutor{
				id:   fmt.Sprintf("i-other-%d", i),
				born: 2000,
			}
			c.HandleHeartbeat(odd.heartbeat(1))
		}
		startedAt := c.config.Clock.Now()
		require.True(t, c.confirmCandidates(t.Context()))
		require.Equal(t, orderTimeout, c.config.Clock.Since(startedAt))
		require.Len(t, holds, 1)
	})
}
