package proof

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/executorserver"
)

const (
	// stay is how long the draining executors of these tests say that they stay at least.
	stay = 2 * time.Second
	// longestLease and stopGrace are those of the processes' default settings.
	longestLease = 10 * time.Second
	stopGrace    = 200 * time.Millisecond
	// taskTime is longer than any of these tests observes a task.
	taskTime = 30 * time.Second
)

// leavingCell is a deployment in which an executor that drains has a run.
type leavingCell struct {
	*harness
	task string
	// index is that of the draining executor.
	index    int
	executor *executorserver.Executor
	link     *cluster.Proxy
}

// newLeavingCell starts a run that lasts and lets its executor drain.
func newLeavingCell(t *testing.T) *leavingCell {
	t.Helper()
	h := newHarnessWithConfig(t, cluster.Config{
		Agents:     4,
		UseProxies: true,
	}, cluster.DocumentConfig{})
	job := h.job(taskTime.String())
	job.Estimate = taskTime
	h.submit(job)
	h.awaitRunning(job, reactionTimeout)
	c := &leavingCell{
		harness: h,
		task:    job.ID + ".0.0.0",
	}
	for i, executor := range h.Executors {
		if executorID(i) == h.Recorder.RunningOn(c.task) {
			c.index, c.executor = i, executor
		}
	}
	c.link = h.ExecutorProxies[c.index]
	// The run is reported before its executor drains.
	h.clock.Sleep(time.Second)
	c.executor.Drain(stay)
	return c
}

// executorID returns the id of the executor with an index.
func executorID(index int) string {
	return fmt.Sprintf("i-%d", index)
}

// notify sends the executor's notice that it shuts down to its agent, and requires that it is acknowledged.
func (c *leavingCell) notify() {
	c.t.Helper()
	status := c.sendAsExecutor(http.MethodDelete, c.ControlAddresses[c.index], executorID(c.index), "")
	require.Equal(c.t, http.StatusOK, status)
}

// leave ends the executor for good: nothing listens at its address any more.
func (c *leavingCell) leave() {
	c.executor.Crash(time.Hour)
	c.link.Refuse()
}

// agent returns the agent of the draining executor.
func (c *leavingCell) agent() *cluster.Process {
	return c.Agents[c.index]
}

// TestDrainingExecutorThatStaysKeepsItsRuns guards against a run that is started elsewhere while it goes on, because
// its draining executor stays for longer than it said at the least and its link refuses connections (TWICE in
// issue 54).
func TestDrainingExecutorThatStaysKeepsItsRuns(t *testing.T) {
	// cutTime is longer than any lease.
	const cutTime = 7 * time.Second
	tests := []struct {
		name string
		// before and during happen before the link fails and while it does.
		before func(c *leavingCell)
		during func(c *leavingCell)
		fail   func(c *leavingCell)
	}{
		{name: "refused", fail: func(c *leavingCell) { c.link.Refuse() }},
		{name: "reset", fail: func(c *leavingCell) { c.link.SetFault(cluster.FaultReset) }},
		{name: "silent", fail: func(c *leavingCell) { c.link.SetFault(cluster.FaultDropAll) }},
		{name: "answers lost", fail: func(c *leavingCell) { c.link.SetFault(cluster.FaultDropFromTarget) }},
		{
			name:   "refused after the agent has restarted",
			before: func(c *leavingCell) { c.restart(c.agent(), 0); c.clock.Sleep(stay) },
			fail:   func(c *leavingCell) { c.link.Refuse() },
		},
		{
			name:   "refused while the agent restarts",
			fail:   func(c *leavingCell) { c.link.Refuse() },
			during: func(c *leavingCell) { c.restart(c.agent(), 0) },
		},
		{
			name:   "refused while the scheduler changes",
			fail:   func(c *leavingCell) { c.link.Refuse() },
			during: func(c *leavingCell) { c.restart(c.schedulerEntry(), time.Second) },
		},
		{
			name:   "refused after the notice of another incarnation",
			before: (*leavingCell).notify,
			fail:   func(c *leavingCell) { c.clock.Sleep(time.Second); c.link.Refuse() },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeavingCell(t)
			if test.before != nil {
				c.clock.Sleep(time.Second)
				test.before(c)
			}
			c.clock.Sleep(stay + time.Second)
			test.fail(c)
			if test.during != nil {
				test.during(c)
			}
			c.clock.Sleep(cutTime)
			require.NoError(t, c.link.Resume())
			c.clock.Sleep(reactionTimeout)
			c.requireNoViolations()
		})
	}
}

// TestRestartsKeepRunsOfLeavingExecutor guards against work that ends on an executor that stays for longer than it
// said, because the short leases there don't last until its agent or the scheduler is back.
func TestRestartsKeepRunsOfLeavingExecutor(t *testing.T) {
	const downtime = 500 * time.Millisecond
	tests := []struct {
		name    string
		restart func(c *leavingCell)
	}{
		{name: "agent killed", restart: func(c *leavingCell) { c.restart(c.agent(), downtime) }},
		{
			name: "agent terminated",
			restart: func(c *leavingCell) {
				require.NoError(c.t, c.agent().Restart(c.t.Context(), syscall.SIGTERM, reactionTimeout))
			},
		},
		{name: "scheduler killed", restart: func(c *leavingCell) { c.restart(c.schedulerEntry(), downtime) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeavingCell(t)
			// The leases that were granted before the executor drained are over.
			c.clock.Sleep(longestLease)
			test.restart(c)
			c.clock.Sleep(reactionTimeout)
			require.Equal(t, 1, c.Recorder.StartCount(c.task))
			require.NotEmpty(t, c.Recorder.RunningOn(c.task))
		})
	}
}

// TestLeavingExecutorIsGivenUp guards against work that waits for an executor that has left as it said for longer than
// it may still run there.
func TestLeavingExecutorIsGivenUp(t *testing.T) {
	// longStay is longer than the leases that were granted before the executor drained.
	const longStay = 12 * time.Second
	tests := []struct {
		name     string
		stays    time.Duration
		announce func(c *leavingCell)
		// agent is set if the agent is ended soon after its executor, as on a machine that is taken away.
		agent bool
		// limit is the longest time from the executor's end to the next run.
		limit time.Duration
	}{
		{
			name:     "with a notice",
			stays:    stay + time.Second,
			announce: (*leavingCell).notify,
			limit:    time.Second / 2,
		},
		{
			name:     "without a notice",
			stays:    stay + time.Second,
			announce: func(*leavingCell) {},
			limit:    cell.LeaseTimeout(longestLease, stopGrace) + time.Second/2,
		},
		{
			name:     "without a notice after a long stay",
			stays:    longStay,
			announce: func(*leavingCell) {},
			limit:    cell.LeaseTimeout(longestLease, stopGrace) / 2,
		},
		{
			name:     "without a notice after a long stay, with its agent",
			stays:    longStay,
			announce: func(*leavingCell) {},
			agent:    true,
			limit:    cell.LeaseTimeout(longestLease, stopGrace) / 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeavingCell(t)
			c.clock.Sleep(test.stays)
			test.announce(c)
			c.leave()
			endedAt := c.clock.Now()
			if test.agent {
				c.clock.Sleep(time.Second)
				c.agent().SignalAndWait(syscall.SIGTERM)
			}
			c.await(2*test.limit, c.task+" runs again", func() bool { return c.Recorder.StartCount(c.task) > 1 })
			starts := c.Recorder.StartsSince(endedAt)
			wait := starts[len(starts)-1].At.Sub(endedAt)
			t.Logf("the next run starts %s after the executor's end", wait)
			require.Less(t, wait, test.limit)
			c.requireNoViolations()
		})
	}
}
