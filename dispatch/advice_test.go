package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// requireAdvice configures that each start of the queue needs advice.
func (h *plannerHarness) requireAdvice(queue string) {
	operations := h.planner.operations
	operations.Config.Queues = append([]cell.Queue{}, operations.Config.Queues...)
	for i := range operations.Config.Queues {
		operations.Config.Queues[i].NeedsAdvice = operations.Config.Queues[i].Name == queue
	}
	h.planner.SetOperations(operations)
}

// An executor rejects a start without a valid ticket if the queue needs advice. Orders must wait for the advice, go
// only to the executors that it allows, and carry the ticket.
func TestStepsRunOnlyWhereAdviceAllows(t *testing.T) {
	h := newHarness(t)
	h.requireAdvice("renders")
	h.report("agent-1", "r1", nil)
	h.report("agent-2", "r1", nil)
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	require.Equal(t, []string{""}, h.taskAgents(0), "no advice received yet")

	adviceRequests := h.planner.AdviceRequests(h.now)
	require.Len(t, adviceRequests, 1)
	require.Equal(t, testJobID+".0.0", adviceRequests[0].Step)
	require.ElementsMatch(t, []string{"i-agent-1", "i-agent-2"}, adviceRequests[0].Executors)
	require.Empty(t, h.planner.AdviceRequests(h.now), "at most one request in flight per step")

	h.planner.HandleAdvice(adviceRequests[0], Advice{Failed: true}, h.now)
	require.Empty(t, h.planner.AdviceRequests(h.now), "a failed request is retried only after a delay")
	h.advance(adviceRetryDelay)
	adviceRequests = h.planner.AdviceRequests(h.now)
	require.Len(t, adviceRequests, 1)
	h.planner.HandleAdvice(adviceRequests[0], Advice{
		Tickets:  map[string]string{"i-agent-2": "t-1"},
		Validity: 3 * time.Second,
	}, h.now)
	h.planAndCommit()
	require.Equal(t, []string{"agent-2"}, h.taskAgents(0))
	require.Equal(t, "t-1", h.planner.Orders("agent-2", h.now).GetStarts()[0].GetTicket())

	// The executor rejects the ticket, so the planner requests advice again.
	h.report("agent-2", "r1", func(report *cellpb.Report) {
		report.Rejected = []*cellpb.Rejected{{Task: testJobID + ".0.0.0", Run: 1, Reason: "ticket"}}
	})
	h.advance(time.Second)
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{""}, h.taskAgents(0))
	adviceRequests = h.planner.AdviceRequests(h.now)
	require.Len(t, adviceRequests, 1)
	require.Equal(t, []string{"i-agent-2"}, adviceRequests[0].Executors, "denied executors are not asked about again")
}

// A ticket that would expire before the order arrives must not be used.
func TestTicketExpires(t *testing.T) {
	cache := adviceCache{
		tickets: map[string]ticket{"i-agent-1/1": {value: "t", expiresAt: 10 * time.Second}},
	}
	require.True(t, cache.allows("i-agent-1/1", 8*time.Second))
	require.False(t, cache.allows("i-agent-1/1", 9*time.Second))
	require.False(t, cache.allows("i-agent-2/1", 0))
}
