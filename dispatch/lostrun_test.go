package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// TestRunsOfSilentExecutorEndWithReportedLeases guards against work that waits for the longest lease although the agent
// has reported an earlier end, and against work that is started elsewhere before that end.
func TestRunsOfSilentExecutorEndWithReportedLeases(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
		// left is how long the leases last from the last response on, 0 if the agent doesn't know.
		left time.Duration
		// answers is set if the executor answers again.
		answers bool
		timeout func(h *plannerHarness) time.Duration
		// grants is set if the agent may extend the leases.
		grants bool
	}{
		{
			name:    "reported end",
			silent:  true,
			left:    3 * time.Second,
			timeout: func(*plannerHarness) time.Duration { return cell.LeaseTimeout(3*time.Second, defaultStopGrace) },
		},
		{
			name:    "end that has passed",
			silent:  true,
			left:    -time.Second,
			timeout: func(*plannerHarness) time.Duration { return cell.LeaseTimeout(0, defaultStopGrace) },
		},
		{
			name:    "end beyond the longest lease",
			silent:  true,
			left:    time.Minute,
			timeout: func(h *plannerHarness) time.Duration { return h.planner.config.leaseTimeout() },
		},
		{
			name:    "unknown end",
			silent:  true,
			timeout: func(h *plannerHarness) time.Duration { return h.planner.config.leaseTimeout() },
		},
		{
			name:    "end of an executor that answers",
			left:    3 * time.Second,
			timeout: func(h *plannerHarness) time.Duration { return h.planner.config.leaseTimeout() },
			grants:  true,
		},
		{
			name:    "executor that answers again",
			silent:  true,
			left:    3 * time.Second,
			answers: true,
			timeout: func(h *plannerHarness) time.Duration { return h.planner.config.leaseTimeout() },
			grants:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(time.Minute)
			h.startTestJob()
			orders := h.report("agent-1", "r1", func(report *cellpb.Report) {
				reportRunning(testJobID + ".0.0.0")(report)
				report.Executor.Silent = test.silent
				if test.left != 0 {
					report.Executor.LeaseEndMs = report.GetExecutor().GetSteadyMs() + test.left.Milliseconds()
				}
			})
			if test.answers {
				h.advance(time.Second)
				orders = h.report("agent-1", "r1", reportRunning(testJobID+".0.0.0"))
			}
			require.Equal(t, test.grants, orders.GetGrantMs() > 0)
			h.requireTestJobMoves(test.timeout(h))
		})
	}
}
