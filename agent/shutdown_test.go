package agent

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// newRunningController returns a controller whose executor has a run, and the executor's first heartbeat. The time is
// read from now; left is how long the executor says that it stays, 0 if it says nothing.
func newRunningController(now *time.Duration, draining bool, left time.Duration) (*Controller, cell.Heartbeat) {
	c := New(Config{
		Logger:   hclog.NewNullLogger(),
		BootTime: boottime.Clock{Now: func() time.Duration { return *now }},
	})
	heartbeat := cell.Heartbeat{
		Executor: &cellpb.Executor{
			Id:       "i-1",
			Born:     1,
			Draining: draining,
			LeftMs:   left.Milliseconds(),
		},
		Sequence: 1,
	}
	c.HandleHeartbeat(heartbeat)
	switchIncarnation(c)
	c.incarnation.inventory.Running = []*cellpb.RunningTask{{Task: "a.0.0.0", Run: 1}}
	return c, heartbeat
}

// The notice that an executor ends names no incarnation and may arrive seconds late, and the executor may still run for
// a moment. Taken for gone while it runs, its tasks would be ordered elsewhere and run twice at the same time.
func TestRunsAreReportedUntilExecutorIsGone(t *testing.T) {
	const noticeAt = time.Minute
	rejected := &cell.OrderRejectedError{Reason: "unhealthy"}
	tests := []struct {
		name     string
		draining bool
		// holds are the results of the holds after the notice.
		holds []error
		// earlier is set if the holds were requested before the notice.
		earlier bool
		// heartbeat is set if another heartbeat arrives afterwards.
		heartbeat bool
		gone      bool
	}{
		{name: "no hold was tried yet", draining: true},
		{name: "nothing listens any more", draining: true, holds: []error{cell.ErrNotListening}, gone: true},
		{name: "an earlier hold failed", draining: true, holds: []error{cell.ErrNotListening}, earlier: true},
		{name: "another executor answers", draining: true, holds: []error{cell.ErrOtherIncarnation}, gone: true},
		{name: "late notice of an earlier incarnation", holds: []error{cell.ErrNotListening}},
		{name: "answers are lost", draining: true, holds: []error{cell.ErrOutcomeUnknown, cell.ErrOutcomeUnknown}},
		{name: "the executor is unhealthy", draining: true, holds: []error{rejected, rejected}},
		{name: "a hold is answered", draining: true, holds: []error{nil, cell.ErrNotListening}},
		{name: "a heartbeat follows", draining: true, holds: []error{cell.ErrNotListening}, heartbeat: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := noticeAt
			c, heartbeat := newRunningController(&now, test.draining, 0)
			c.HandleHeartbeat(cell.Heartbeat{Executor: &cellpb.Executor{Id: "i-1"}, ShuttingDown: true})
			if test.earlier {
				now -= time.Minute / 2
			}
			for i, err := range test.holds {
				now += time.Second
				if err == nil {
					c.recordHoldResponse(c.incarnation, now)
					continue
				}
				c.recordHoldFailure(c.incarnation, now, i+1, err)
			}
			if test.heartbeat {
				heartbeat.Sequence++
				c.HandleHeartbeat(heartbeat)
			}
			report, _ := c.report(false)
			require.Equal(t, test.gone, report.GetExecutor().GetGone())
			require.Equal(t, test.gone, len(report.GetRunning()) == 0)
		})
	}
}

// TestExecutorThatLeavesOnTimeIsGone guards against runs that are given up only with their leases, seconds after their
// executor was taken away at short notice: it says how long it stays, and ends without another notice. A gang waits all
// that time for one member (atem-radish-large, SHORT).
func TestExecutorThatLeavesOnTimeIsGone(t *testing.T) {
	const drainsAt, left = time.Minute, 2 * time.Second
	tests := []struct {
		name string
		left time.Duration
		// remains is set if the executor says later that it stays, lingers if it says that no time is left.
		remains bool
		lingers bool
		holdAt  time.Duration
		err     error
		gone    bool
	}{
		{name: "nothing listens any more", left: left, holdAt: drainsAt + left, err: cell.ErrNotListening, gone: true},
		{name: "another executor answers", left: left, holdAt: drainsAt + left, err: cell.ErrOtherIncarnation, gone: true},
		{name: "it lingered", left: left, lingers: true, holdAt: drainsAt + 2*left, err: cell.ErrNotListening, gone: true},
		{name: "too early", left: left, holdAt: drainsAt + left - 1, err: cell.ErrNotListening},
		{name: "an answer is lost", left: left, holdAt: drainsAt + left, err: cell.ErrOutcomeUnknown},
		{name: "it said no time", holdAt: drainsAt + left, err: cell.ErrNotListening},
		{name: "it stays", left: left, remains: true, holdAt: drainsAt + 2*left, err: cell.ErrNotListening},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := drainsAt
			c, heartbeat := newRunningController(&now, true, test.left)
			if test.remains || test.lingers {
				now += left
				heartbeat.Sequence++
				heartbeat.Executor.Draining, heartbeat.Executor.LeftMs = test.lingers, 0
				c.HandleHeartbeat(heartbeat)
			}
			now = test.holdAt
			c.recordHoldFailure(c.incarnation, now, 1, test.err)
			report, _ := c.report(false)
			require.Equal(t, test.gone, report.GetExecutor().GetGone())
			require.Equal(t, test.gone, len(report.GetRunning()) == 0)
		})
	}
}
