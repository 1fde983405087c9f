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
// read from now.
func newRunningController(now *time.Duration, draining bool) (*Controller, cell.Heartbeat) {
	c := New(Config{
		Logger:   hclog.NewNullLogger(),
		BootTime: boottime.Clock{Now: func() time.Duration { return *now }},
	})
	heartbeat := cell.Heartbeat{
		Executor: &cellpb.Executor{
			Id:       "i-1",
			Born:     1,
			Draining: draining,
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
			c, heartbeat := newRunningController(&now, test.draining)
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

// leavingStay is how long the draining executors of these tests say that they stay at least.
const leavingStay = 2 * time.Second

// leavingExecutor is a draining executor with a run. Its clock showed an hour when it began to drain.
type leavingExecutor struct {
	*Controller
	now       time.Duration
	heartbeat cell.Heartbeat
}

// newLeavingExecutor returns an executor that has just begun to drain.
func newLeavingExecutor(stay time.Duration) *leavingExecutor {
	l := &leavingExecutor{
		now: time.Minute,
	}
	l.Controller, l.heartbeat = newRunningController(&l.now, false)
	inventory := cell.Inventory{
		Clock:   time.Hour,
		Running: []*cellpb.RunningTask{{Task: "a.0.0.0", Run: 1}},
	}
	l.applyInventory(l.incarnation, cell.HoldRequest{}, inventory, l.now)
	l.beat(true, stay)
	return l
}

// beat sends a heartbeat.
func (l *leavingExecutor) beat(draining bool, stay time.Duration) {
	l.heartbeat.Sequence++
	l.heartbeat.Executor.Draining = draining
	l.heartbeat.Executor.LeftMs = stay.Milliseconds()
	l.heartbeat.Executor.SteadyMs = (time.Hour + l.now - time.Minute).Milliseconds()
	l.HandleHeartbeat(l.heartbeat)
}

func (l *leavingExecutor) notify() {
	l.HandleHeartbeat(cell.Heartbeat{
		Executor:     &cellpb.Executor{Id: "i-1"},
		ShuttingDown: true,
	})
}

// wait advances the time to a moment after the beginning of the drain.
func (l *leavingExecutor) wait(since time.Duration) {
	l.now = time.Minute + since
}

// isGone lets a hold fail and reports whether the executor is reported as gone, without its run.
func (l *leavingExecutor) isGone(t *testing.T, err error) bool {
	t.Helper()
	l.recordHoldFailure(l.incarnation, l.now, 1, err)
	report, _ := l.report(false)
	require.Equal(t, report.GetExecutor().GetGone(), len(report.GetRunning()) == 0)
	return report.GetExecutor().GetGone()
}

// TestExecutorThatStaysIsNotGone guards against runs that are given up and started elsewhere while they go on, because
// the link to their draining executor refuses connections (TWICE of issue 54).
func TestExecutorThatStaysIsNotGone(t *testing.T) {
	tests := []struct {
		name string
		stay time.Duration
		// before happens when the executor has just begun to drain.
		before func(l *leavingExecutor)
		err    error
	}{
		{name: "the time is over that it said to stay", stay: leavingStay, err: cell.ErrNotListening},
		{name: "it said no time", err: cell.ErrNotListening},
		{name: "answers are lost", stay: leavingStay, err: cell.ErrOutcomeUnknown},
		{
			name:   "it says that no time is left",
			stay:   leavingStay,
			before: func(l *leavingExecutor) { l.wait(leavingStay); l.beat(true, 0) },
			err:    cell.ErrNotListening,
		},
		{
			name:   "it doesn't drain any more",
			stay:   leavingStay,
			before: func(l *leavingExecutor) { l.wait(leavingStay); l.beat(false, 0); l.notify() },
			err:    cell.ErrNotListening,
		},
		{
			name:   "heartbeats follow the notice of an earlier incarnation",
			stay:   leavingStay,
			before: func(l *leavingExecutor) { l.notify(); l.wait(time.Second); l.beat(true, time.Second) },
			err:    cell.ErrNotListening,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeavingExecutor(test.stay)
			if test.before != nil {
				test.before(l)
			}
			l.wait(time.Hour)
			require.False(t, l.isGone(t, test.err))
		})
	}
}

// TestExecutorThatLeavesIsGone guards against runs that are given up only with their leases, although it is known that
// their executor has ended. A gang waits all that time for one member (atem-radish-large, SHORT).
func TestExecutorThatLeavesIsGone(t *testing.T) {
	tests := []struct {
		name string
		// noticeAt is when the executor says that it shuts down, 0 if it doesn't.
		noticeAt time.Duration
		err      error
		// presentAt is a moment at which the executor isn't gone, goneAt one at which it is; 0 if there is none.
		presentAt time.Duration
		goneAt    time.Duration
	}{
		{
			name:      "notice",
			noticeAt:  leavingStay,
			err:       cell.ErrNotListening,
			presentAt: leavingStay,
			goneAt:    leavingStay + 1,
		},
		{
			name:      "notice before its time",
			noticeAt:  time.Second,
			err:       cell.ErrNotListening,
			presentAt: leavingStay - stayTolerance,
			goneAt:    leavingStay,
		},
		{
			name:      "notice, and answers are lost",
			noticeAt:  leavingStay,
			err:       cell.ErrOutcomeUnknown,
			presentAt: time.Hour,
		},
		{
			name:   "another executor answers",
			err:    cell.ErrOtherIncarnation,
			goneAt: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeavingExecutor(leavingStay)
			if test.noticeAt > 0 {
				l.wait(test.noticeAt)
				l.notify()
			}
			if test.presentAt > 0 {
				l.wait(test.presentAt)
				require.False(t, l.isGone(t, test.err))
			}
			if test.goneAt > 0 {
				l.wait(test.goneAt)
				require.True(t, l.isGone(t, test.err))
			}
		})
	}
}
