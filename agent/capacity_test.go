package agent

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// heartbeatWithAccelerators returns a heartbeat of the same incarnation that shows a capacity.
func heartbeatWithAccelerators(sequence, accelerators int64) cell.Heartbeat {
	return cell.Heartbeat{
		Executor: &cellpb.Executor{
			Id:           "i-1",
			Born:         1,
			Cpu:          16000,
			MemoryMb:     32000,
			Accelerators: accelerators,
		},
		Sequence: sequence,
	}
}

// newCapacityController returns a controller whose executor has shown 8 accelerators, and its log.
func newCapacityController(t *testing.T, executor ExecutorClient) (*Controller, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	c := New(Config{
		ID:       "agent-1",
		Logger:   hclog.New(&hclog.LoggerOptions{Output: log}),
		Clock:    clockwork.NewRealClock(),
		BootTime: boottime.NewClock(),
		Executor: executor,
	})
	c.HandleHeartbeat(heartbeatWithAccelerators(1, 8))
	switchIncarnation(c)
	<-c.reportSignal
	return c, log
}

// Guards against a capacity change that the scheduler hears of only with the next regular report, a second later:
// until then it starts work for which the executor has no room any more.
func TestCapacityChangeIsReportedAtOnce(t *testing.T) {
	tests := []struct {
		name         string
		accelerators []int64
		signalled    bool
		logged       int
	}{
		{name: "unchanged", accelerators: []int64{8}},
		{name: "shrunk", accelerators: []int64{2}, signalled: true, logged: 1},
		{name: "shrunk and repeated", accelerators: []int64{2, 2}, signalled: true, logged: 1},
		{name: "shrunk and grown", accelerators: []int64{2, 8}, signalled: true, logged: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, log := newCapacityController(t, ExecutorClient{})
			for i, accelerators := range test.accelerators {
				require.True(t, c.HandleHeartbeat(heartbeatWithAccelerators(int64(i+2), accelerators)))
			}
			require.Equal(t, test.signalled, len(c.reportSignal) == 1)
			require.Equal(t, test.logged, strings.Count(log.String(), "executor capacity changed"))
			if test.logged > 0 {
				require.Contains(t, log.String(), `before="cpu=16000 memory=32000 accelerators=8"`)
				require.Contains(t, log.String(), `after="cpu=16000 memory=32000 accelerators=2"`)
			}
			report, _ := c.report(false)
			require.Equal(t, test.accelerators[len(test.accelerators)-1], report.GetExecutor().GetAccelerators())
		})
	}
}

// Guards against an outdated description of a new incarnation: the executor shrinks before the agent has switched to
// it, and the scheduler fills the room that it had at first.
func TestSwitchTakesNewestHeartbeat(t *testing.T) {
	c, _ := newCapacityController(t, ExecutorClient{})
	for sequence, accelerators := range []int64{8, 2} {
		restarted := heartbeatWithAccelerators(int64(sequence), accelerators)
		restarted.Executor.Born = 2
		c.HandleHeartbeat(restarted)
	}
	switchIncarnation(c)
	report, _ := c.report(false)
	require.EqualValues(t, 2, report.GetExecutor().GetBorn())
	require.EqualValues(t, 2, report.GetExecutor().GetAccelerators())
}

// Guards against a start that was ordered for more capacity than the executor still has. An executor that doesn't guard
// its capacity would carry it out, however late the reply or the repeated request is.
func TestStartsFromBeforeAShrinkAreHeldBack(t *testing.T) {
	tests := []struct {
		name string
		// duringCall and duringStart are the accelerators that a heartbeat shows during the report and during the first
		// start request, whose response is lost; 0 means that there is no heartbeat.
		duringCall  int64
		duringStart int64
		// wantAttempts is the number of start requests that the first reply leads to.
		wantAttempts int
	}{
		{name: "unchanged", wantAttempts: 2},
		{name: "shrunk while the reply was on its way", duringCall: 2},
		{name: "grown while the reply was on its way", duringCall: 16, wantAttempts: 2},
		{name: "shrunk while the start is repeated", duringStart: 2, wantAttempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			attempts := 0
			var c *Controller
			c, _ = newCapacityController(t, ExecutorClient{
				Start: func(context.Context, cell.TaskStart) error {
					attempts++
					if attempts > 1 {
						return nil
					}
					if test.duringStart > 0 {
						c.HandleHeartbeat(heartbeatWithAccelerators(2, test.duringStart))
					}
					readInventoryLater(c, cell.Inventory{Born: 1})
					return cell.ErrOutcomeUnknown
				},
			})
			calls := 0
			c.config.Call = func(_ context.Context, _ string, _, reply proto.Message) error {
				calls++
				if calls == 1 && test.duringCall > 0 {
					c.HandleHeartbeat(heartbeatWithAccelerators(2, test.duringCall))
				}
				reply.(*cellpb.Reply).Body = &cellpb.Reply_Orders{
					Orders: &cellpb.Orders{
						Epoch:    7,
						Executor: "i-1",
						Born:     1,
						GrantMs:  time.Minute.Milliseconds(),
						Starts:   []*cellpb.Start{{Task: "a.0.0.0", Run: 1}},
					},
				}
				return nil
			}
			for _, wantAttempts := range []int{test.wantAttempts, 2} {
				report, current := c.report(false)
				require.NoError(t, c.exchangeReport(t.Context(), "scheduler", report, current))
				c.orders.Wait()
				require.Equal(t, wantAttempts, attempts)
			}
		})
	}
}

// Guards against starts that pass because the executor shrinks after the reply was read and before its orders are
// applied. The executor would get work for room that it no longer has.
func TestStartsOfEarlierReportsAreDroppedAfterShrink(t *testing.T) {
	starts := 0
	c, _ := newCapacityController(t, ExecutorClient{
		Start: func(context.Context, cell.TaskStart) error {
			starts++
			return nil
		},
	})
	reply := func(report *cellpb.Report) {
		c.applyOrdersOf(t.Context(), report.GetSequence(), &cellpb.Orders{
			Epoch:    7,
			Executor: "i-1",
			Born:     1,
			GrantMs:  time.Minute.Milliseconds(),
			Starts:   []*cellpb.Start{{Task: "a.0.0.0", Run: 1}},
		})
		c.orders.Wait()
	}
	before, _ := c.report(false)
	c.HandleHeartbeat(heartbeatWithAccelerators(2, 2))
	reply(before)
	require.Zero(t, starts)

	after, _ := c.report(false)
	reply(after)
	require.Equal(t, 1, starts)
}
