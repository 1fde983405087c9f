package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

func newTestIncarnation() *incarnation {
	return newIncarnation(cell.Heartbeat{
		Executor: &cellpb.Executor{
			Id:       "i-1",
			Born:     1,
			SteadyMs: 1000,
		},
	}, 0, time.Minute)
}

func newInventory(running, ended []string) cell.Inventory {
	result := cell.Inventory{
		Born:  1,
		Clock: 2 * time.Second,
	}
	for _, task := range running {
		result.Running = append(result.Running, &cellpb.RunningTask{
			Task: task,
			Run:  1,
		})
	}
	for i, task := range ended {
		result.Ended = append(result.Ended, &cellpb.EndedTask{
			Number: int64(i + 1),
			Task:   task,
			Run:    1,
		})
	}
	return result
}

// A run that was stopped before it began is in no inventory. It must be reported as rejected, or the scheduler waits
// forever for its end.
func TestStopBeforeRunBegan(t *testing.T) {
	tests := []struct {
		name        string
		listed      cell.Inventory
		requestedAt time.Duration
		rejected    int
		pending     bool
	}{
		{name: "requested before the stop", requestedAt: time.Second, listed: newInventory(nil, nil), pending: true},
		{name: "still runs", requestedAt: time.Hour, listed: newInventory([]string{"t"}, nil), pending: true},
		{name: "ended", requestedAt: time.Hour, listed: newInventory(nil, []string{"t"})},
		{name: "never began", requestedAt: time.Hour, listed: newInventory(nil, nil), rejected: 1},
		{name: "its end may be beyond the listed ones", requestedAt: time.Hour, pending: true},
	}
	truncated := newInventory(nil, nil)
	truncated.Truncated = true
	tests[len(tests)-1].listed = truncated
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current := newTestIncarnation()
			key := run{task: "t", run: 1}
			current.stopped[key] = 2 * time.Minute
			current.applyInventory(cell.HoldRequest{Fence: 7}, test.listed, test.requestedAt, 3*time.Minute)
			require.Len(t, current.rejected, test.rejected)
			_, pending := current.stopped[key]
			require.Equal(t, test.pending, pending)
		})
	}
}

// The scheduler repeats an order until it sees the outcome. The agent must not execute it twice at the same time, but
// must execute it again if the executor lost the run.
func TestStartIsExecutedOnce(t *testing.T) {
	current := newTestIncarnation()
	key := run{task: "t", run: 1}
	require.True(t, current.beginOrder(key, true))
	require.False(t, current.beginOrder(key, true), "start in progress")
	current.finishOrder(key, true)
	current.started[key] = 2 * time.Minute
	require.False(t, current.beginOrder(key, true), "start acknowledged")
	require.Len(t, current.runningTasks(), 1, "reported before the inventory shows it")

	current.applyInventory(cell.HoldRequest{}, newInventory([]string{"t"}, nil), time.Hour, time.Hour)
	require.False(t, current.beginOrder(key, true), "run is listed as running")
	current.applyInventory(cell.HoldRequest{}, newInventory(nil, nil), time.Hour, time.Hour)
	require.True(t, current.beginOrder(key, true), "run was lost")
}

// The executor's clock may be slow, and the agent may have been suspended. The agent's estimate of that clock must
// never be ahead, or a start would be executed after its deadline.
func TestClockEstimateIsNeverAhead(t *testing.T) {
	current := newTestIncarnation()
	current.applyInventory(cell.HoldRequest{}, newInventory(nil, nil), time.Minute, time.Minute)
	require.Equal(t, 2*time.Second, current.earliestClock(time.Minute))
	require.Equal(t, 2*time.Second+9800*time.Millisecond, current.earliestClock(time.Minute+10*time.Second))
}
