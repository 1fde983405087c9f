package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/runtimes"
)

// setSpeeds makes the planner know how the machines of agent-0, agent-1 and so on differ in speed.
func (h *plannerHarness) setSpeeds(slowdowns ...float64) {
	for step := range 4 {
		var runs []runtimes.Run
		for i, slowdown := range slowdowns {
			runs = append(runs, runtimes.Run{
				Task:     int32(i),
				Machine:  fmt.Sprintf("agent-%d", i),
				Duration: time.Duration(slowdown * float64(time.Second)),
			})
		}
		h.planner.runTimes.Observe(runtimes.Step{
			ID:    fmt.Sprint(step),
			Queue: "other",
		}, runs)
	}
}

// gangJob returns a job of one gang.
func gangJob(id, queue string, tasks int32, accelerators int64, estimate time.Duration) *cellpb.Job {
	job := singleTaskJob(id, queue, "none", accelerators)
	job.Steps[0].Count = tasks
	job.Steps[0].Gang = true
	job.Steps[0].EstimateMs = estimate.Milliseconds()
	return job
}

// Two speeds and gangs with little slack: a gang ends with its slowest member, so that one slow executor makes it late.
// Work that is in time anywhere must leave the fast ones to it.
func TestPlacementByExpectedCompletion(t *testing.T) {
	tests := []struct {
		name string
		job  *cellpb.Job
		want []string
	}{
		{
			name: "little slack: fast executors only",
			job:  gangJob(testJobID, "quotes", 3, 8, 2*time.Second),
			want: []string{"agent-1", "agent-2", "agent-4"},
		},
		{
			name: "slack: slow executors",
			job:  gangJob(testJobID, "renders", 2, 8, 2*time.Second),
			want: []string{"agent-0", "agent-3"},
		},
		{
			name: "slack, too large for the slow ones: one class rather than both",
			job:  gangJob(testJobID, "renders", 4, 8, 2*time.Second),
			want: []string{"agent-1", "agent-2", "agent-4", "agent-5"},
		},
		{
			name: "larger than one class",
			job:  gangJob(testJobID, "renders", 5, 8, 2*time.Second),
			want: []string{"agent-0", "agent-1", "agent-2", "agent-3", "agent-4"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			for i := range 6 {
				h.report(fmt.Sprintf("agent-%d", i), "r1", nil)
			}
			h.setSpeeds(1.7, 0.7, 0.7, 1.7, 0.7, 0.7)
			h.submit(test.job)
			h.planAndCommit()
			agents := h.taskAgents(0)
			if test.name == "larger than one class" {
				require.NotContains(t, agents, "")
				return
			}
			require.ElementsMatch(t, test.want, agents)
		})
	}
}

// Equal machines: placements must not depend on anything that was learned about them.
func TestEqualSpeedsKeepTightestFit(t *testing.T) {
	place := func(learn bool) []string {
		h := newHarness(t)
		for i := range 6 {
			h.report(fmt.Sprintf("agent-%d", i), fmt.Sprintf("r%d", i/3), nil)
		}
		if learn {
			h.setSpeeds(1, 1.1, 0.95, 1.05, 1, 0.9)
		}
		var agents []string
		for i, accelerators := range []int64{4, 2, 8, 1, 4} {
			job := singleTaskJob(fmt.Sprintf("a%015d", i), "quotes", "none", accelerators)
			h.submit(job)
			h.planAndCommit()
			agents = append(agents, h.planner.findTask(job.GetId()+".0.0.0").run.agent)
		}
		return agents
	}
	require.Equal(t, place(false), place(true))
}

// Fast executors are busy for a moment: a gang with little slack must wait for them where it is then in time, and must
// not wait where it isn't.
func TestTightGangWaitsForFastExecutors(t *testing.T) {
	tests := []struct {
		name string
		// percent is the progress of the runs on the fast executors, which take 4 s.
		percent int32
		want    []string
	}{
		{name: "released soon", percent: 90, want: []string{"", ""}},
		{name: "released late", percent: 5, want: []string{"agent-0", "agent-1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.setSpeeds(1.7, 1.7, 0.7, 0.7)
			for _, agent := range []string{"agent-2", "agent-3"} {
				h.report(agent, "r1", nil)
			}
			filler := gangJob("b000000000000001", "quotes", 2, 8, 4*time.Second)
			h.submit(filler)
			h.planAndCommit()
			elapsed := time.Duration(test.percent) * 4 * time.Second / 100
			for _, percent := range []int32{0, test.percent} {
				for i, agent := range []string{"agent-2", "agent-3"} {
					h.report(agent, "r1", func(report *cellpb.Report) {
						report.Running = []*cellpb.RunningTask{
							{Task: fmt.Sprintf("b000000000000001.0.0.%d", h.taskAt(agent, i)), Run: 1, Percent: percent},
						}
					})
				}
				if percent == 0 {
					h.advance(elapsed)
				}
			}
			h.report("agent-0", "r1", nil)
			h.report("agent-1", "r1", nil)
			h.submit(gangJob(testJobID, "quotes", 2, 8, 4*time.Second))
			h.planAndCommit()
			require.ElementsMatch(t, test.want, h.taskAgents(0))
		})
	}
}

// taskAt returns the index of the filler's task at an agent.
func (h *plannerHarness) taskAt(agent string, fallback int) int {
	for run := range h.planner.runsByAgent[agent] {
		return int(run.task.id.Index)
	}
	return fallback
}

// A takeover in mid-burst must not forget which machines are slow: agents return what the predecessor knew.
func TestSpeedSurvivesTakeover(t *testing.T) {
	h := newHarness(t)
	h.setSpeeds(1.7, 0.7, 0.7, 1.7, 0.7, 0.7)
	speeds := map[string]*cellpb.Speed{}
	for i := range 6 {
		agent := fmt.Sprintf("agent-%d", i)
		speeds[agent] = h.report(agent, "r1", nil).GetSpeed()
	}
	successor := newHarness(t)
	for agent, speed := range speeds {
		successor.report(agent, "r1", func(report *cellpb.Report) { report.Speed = speed })
	}
	successor.submit(gangJob(testJobID, "quotes", 3, 8, 2*time.Second))
	successor.planAndCommit()
	require.ElementsMatch(t, []string{"agent-1", "agent-2", "agent-4"}, successor.taskAgents(0))
}

// A machine's speed must be learned from the progress of runs, before any ends, and go with the machine to its next
// incarnation, unless that is of another kind.
func TestSpeedIsLearnedFromProgress(t *testing.T) {
	for name, kind := range map[string]string{"same kind": "a", "another kind": "b"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for step := range 4 {
				id := fmt.Sprintf("a%015d", step)
				h.submit(gangJob(id, "renders", 4, 2, 5*time.Second))
				for i := range 4 {
					h.report(fmt.Sprintf("agent-%d", i), "r1", nil)
				}
				h.planner.jobs[id].spec.Steps[0].Spread = 1
			}
			h.planAndCommit()
			for second := range int32(4) {
				for i := range 4 {
					h.reportProgress(fmt.Sprintf("agent-%d", i), map[bool]int32{true: 8, false: 20}[i == 0]*second)
				}
				h.planAndCommit()
				h.advance(time.Second)
			}
			h.planAndCommit()
			require.InDelta(t, 1.8, h.planner.runTimes.Slowdown("agent-0"), 0.3)
			h.report("agent-0", "r1", func(report *cellpb.Report) {
				report.Executor.Born = 2
				report.Executor.Labels[0] = kind
			})
			want := map[string]int32{"a": 4, "b": 0}[kind]
			require.Equal(t, want, h.planner.runTimes.Speed("agent-0").Samples)
		})
	}
}

// reportProgress reports all runs at an agent with the same progress.
func (h *plannerHarness) reportProgress(agent string, percent int32) {
	h.report(agent, "r1", func(report *cellpb.Report) {
		for run := range h.planner.runsByAgent[agent] {
			report.Running = append(report.Running, &cellpb.RunningTask{
				Task:    run.task.id.String(),
				Run:     run.runNumber,
				Percent: percent,
			})
		}
	})
}
