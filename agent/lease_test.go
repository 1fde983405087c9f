package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// grant applies the reply to a report, with a grant that reaches to a time on the executor's clock.
func (l *leavingExecutor) grant(report *cellpb.Report, current *incarnation, end time.Duration) {
	l.applyReply(context.Background(), report, current, &cellpb.Orders{
		Executor: "i-1",
		Born:     1,
		GrantMs:  end.Milliseconds(),
	})
}

// becomeSilent lets holds fail until the executor counts as silent, and returns the next report.
func (l *leavingExecutor) becomeSilent() (*cellpb.Report, *incarnation) {
	l.recordHoldFailure(l.incarnation, l.now, silentAfterFailures, cell.ErrNotListening)
	return l.report(false)
}

func (l *leavingExecutor) nextLeaseEnd(t *testing.T) time.Duration {
	t.Helper()
	hold, _, ok := l.nextHold()
	require.True(t, ok)
	return hold.LeaseEnd
}

// TestLeasesOfLeavingExecutorEndSoon guards against work that waits for a long lease after its executor has left
// without a notice.
func TestLeasesOfLeavingExecutorEndSoon(t *testing.T) {
	const limit = time.Hour + time.Minute
	tests := []struct {
		name     string
		draining bool
		stay     time.Duration
		leaseEnd time.Duration
	}{
		{name: "in service", leaseEnd: limit},
		{name: "drains without saying how long it stays", draining: true, leaseEnd: limit},
		{name: "drains", draining: true, stay: leavingStay, leaseEnd: time.Hour + leavingStay + leavingLease},
		{name: "stays beyond the grant", draining: true, stay: 2 * time.Minute, leaseEnd: limit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeavingExecutor(0)
			l.beat(test.draining, test.stay)
			report, current := l.report(false)
			l.grant(report, current, limit)
			require.Equal(t, test.leaseEnd, l.nextLeaseEnd(t))
		})
	}
}

// TestReportedLeaseEndHolds guards against runs that are started elsewhere while they go on, because their agent
// extends leases beyond the end that it has reported to the scheduler.
func TestReportedLeaseEndHolds(t *testing.T) {
	const first, second, third = time.Hour + time.Minute, time.Hour + 2*time.Minute, time.Hour + 3*time.Minute
	l := newLeavingExecutor(0)
	l.beat(false, 0)
	report, current := l.report(false)
	l.grant(report, current, first)
	require.Zero(t, report.GetExecutor().GetLeaseEndMs())
	require.Equal(t, first, l.nextLeaseEnd(t))
	delayed, _ := l.report(false)
	silent, _ := l.becomeSilent()
	require.Equal(t, first.Milliseconds(), silent.GetExecutor().GetLeaseEndMs())

	l.grant(delayed, current, second)
	require.Equal(t, first, l.nextLeaseEnd(t), "a grant in reply to an earlier report")
	l.grant(silent, current, second)
	require.Equal(t, first, l.nextLeaseEnd(t), "a grant in reply to the report of the silent executor")
	l.recordHoldResponse(current, l.now)
	require.Equal(t, first, l.nextLeaseEnd(t), "no grant since the executor answers again")
	answered, _ := l.report(false)
	require.Zero(t, answered.GetExecutor().GetLeaseEndMs())
	l.grant(answered, current, third)
	require.Equal(t, third, l.nextLeaseEnd(t))
}

// TestStartsExtendReportedLeaseEnd guards against a reported end of the leases before the deadline of a start, which
// extends them as well.
func TestStartsExtendReportedLeaseEnd(t *testing.T) {
	l := newLeavingExecutor(0)
	l.beat(false, 0)
	report, current := l.report(false)
	l.grant(report, current, time.Hour+time.Second)
	later, _ := l.report(false)
	l.grant(later, current, 2*time.Hour)
	attempt := l.prepareStart(current, run{task: "b.0.0.0", run: 1}, 0)
	require.Greater(t, attempt.deadline, time.Hour+time.Second)
	silent, _ := l.becomeSilent()
	require.Equal(t, attempt.deadline.Milliseconds(), silent.GetExecutor().GetLeaseEndMs())
}

// TestLeaseEndIsUnknownAfterRestart guards against a reported end of the leases before the one up to which an earlier
// process of the agent has extended them.
func TestLeaseEndIsUnknownAfterRestart(t *testing.T) {
	l := newLeavingExecutor(leavingStay)
	report, _ := l.becomeSilent()
	require.True(t, report.GetExecutor().GetSilent())
	require.Zero(t, report.GetExecutor().GetLeaseEndMs())
}
