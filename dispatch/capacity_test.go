package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
)

// Capacities must be nil until all executors have had time to report, or jobs that fit only a larger one are rejected.
func TestCapacitiesAfterExecutorDiscovery(t *testing.T) {
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	h.report("agent-2", "r1", nil)
	h.report("agent-3", "r1", func(report *cellpb.Report) { report.Executor.Accelerators = 16 })
	require.Empty(t, h.planner.Capacities(h.now))
	h.advance(executorDiscoveryTime)
	capacities := h.planner.Capacities(h.now)
	require.Len(t, capacities, 2, "executors of equal size count once")
	require.EqualValues(t, 8, capacities[0].GetAccelerators())
	require.EqualValues(t, 16, capacities[1].GetAccelerators())
}
