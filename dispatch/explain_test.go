package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// explainedAgents returns the agents of an explanation's places.
func explainedAgents(explanation *cellpb.Explanation) []string {
	var agents []string
	for _, place := range explanation.GetPlaces() {
		agents = append(agents, place.GetAgent())
	}
	return agents
}

// passedCounts returns the executors passed over by reason.
func passedCounts(explanation *cellpb.Explanation) map[string]int32 {
	counts := map[string]int32{}
	for _, passed := range explanation.GetPassed() {
		counts[passed.GetReason()] = passed.GetExecutors()
	}
	return counts
}

// Guards against explanations by rules of their own: what is explained must be what the next pass does, and explaining
// must change nothing.
func TestExplanationAgreesWithPlacement(t *testing.T) {
	tests := []struct {
		name     string
		prepare  func(h *plannerHarness)
		job      *cellpb.Job
		decision string
		passed   map[string]int32
	}{
		{
			name:     "fits",
			job:      gangJob(testJobID, "renders", 2, 8, 2*time.Second),
			decision: decisionStarts,
			passed:   map[string]int32{string(passFit): 4},
		},
		{
			name:     "little slack",
			prepare:  func(h *plannerHarness) { h.setSpeeds(1.7, 0.7, 0.7, 1.7, 0.7, 0.7) },
			job:      gangJob(testJobID, "quotes", 3, 8, 2*time.Second),
			decision: decisionStarts,
			passed:   map[string]int32{string(passFit): 1, string(passSpeed): 2},
		},
		{
			name: "full with less urgent work",
			prepare: func(h *plannerHarness) {
				for i := range 6 {
					h.submit(singleTaskJob(fmt.Sprintf("b%015d", i), "renders", "none", 8))
				}
				h.planAndCommit()
			},
			job:      gangJob(testJobID, "quotes", 1, 8, 2*time.Second),
			decision: decisionPreempts,
			passed:   map[string]int32{string(passRoom): 6},
		},
		{
			name: "full with urgent work",
			prepare: func(h *plannerHarness) {
				h.submit(gangJob("b000000000000001", "quotes", 6, 8, time.Minute))
				h.planAndCommit()
			},
			job:      gangJob(testJobID, "renders", 2, 8, 2*time.Second),
			decision: decisionWaits,
			passed:   map[string]int32{string(passRoom): 6},
		},
		{
			name: "a zone out of service",
			prepare: func(h *plannerHarness) {
				h.planner.SetOperations(h.planner.operations.WithZone("suva", true))
			},
			job:      gangJob(testJobID, "renders", 2, 8, 2*time.Second),
			decision: decisionWaits,
			passed:   map[string]int32{string(passZone): 6},
		},
		{
			name:     "too large",
			job:      gangJob(testJobID, "renders", 1, 9, 2*time.Second),
			decision: decisionRejected,
			passed:   map[string]int32{string(passSize): 6},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			for i := range 6 {
				h.report(fmt.Sprintf("agent-%d", i), "r1", nil)
			}
			if test.prepare != nil {
				test.prepare(h)
			}
			test.job.AcceptedMs = h.now.WallMs
			test.job.Occurrences = 1
			request := &cellpb.Explain{
				Job: test.job,
			}
			explanation := h.planner.Explain(request, h.now)
			require.Equal(t, test.decision, explanation.GetDecision(), explanation.GetReason())
			require.Equal(t, test.passed, passedCounts(explanation))
			require.NotContains(t, h.planner.jobs, testJobID)
			require.EqualExportedValues(t, explanation, h.planner.Explain(request, h.now), "explaining changed something")

			h.submit(test.job)
			h.planAndCommit()
			placed := h.taskAgents(0)
			if test.decision != decisionStarts {
				require.NotContains(t, placed, "agent-0")
				return
			}
			require.Equal(t, explainedAgents(explanation), placed)
			running := h.planner.Explain(&cellpb.Explain{Id: testJobID}, h.now)
			require.Equal(t, decisionRuns, running.GetDecision())
			require.Equal(t, placed, explainedAgents(running))
		})
	}
}

// Guards against answers about jobs that aren't there any more.
func TestExplainEndedAndUnknownJobs(t *testing.T) {
	h := newHarness(t)
	h.report("agent-0", "r1", nil)
	require.Equal(t, decisionRejected, h.planner.Explain(&cellpb.Explain{Id: testJobID}, h.now).GetDecision())
	job := singleTaskJob(testJobID, "renders", "none", 1)
	h.submit(job)
	h.planner.SetJob(cell.JobState{
		Job:       job,
		Cancelled: true,
	}, h.now)
	require.Equal(t, decisionEnded, h.planner.Explain(&cellpb.Explain{Id: testJobID}, h.now).GetDecision())
}

// BenchmarkExplain measures an explanation in a full cell with a long queue.
func BenchmarkExplain(b *testing.B) {
	h := newLoadedCell(b, 300)
	request := &cellpb.Explain{
		Job: gangJob(testJobID, "quotes", 4, 8, 2*time.Second),
	}
	for b.Loop() {
		h.planner.Explain(request, h.now)
	}
}
