package dispatch

import (
	"fmt"
	"testing"

	"radishpath.example/radishpath/cell/cellpb"
)

// BenchmarkPass measures one planning pass over a full cell with a long queue of all kinds of jobs, which is the most
// expensive load for the scheduler.
func BenchmarkPass(b *testing.B) {
	for _, size := range []int{11, 65, 300} {
		b.Run(fmt.Sprintf("executors=%d", size), func(b *testing.B) {
			h := newLoadedCell(b, size)
			b.ReportAllocs()
			for b.Loop() {
				h.planner.replan = true
				h.planner.Plan(h.now)
			}
		})
	}
}

// newLoadedCell returns a cell whose executors are full of renders, with two pending jobs per executor.
func newLoadedCell(b *testing.B, size int) *plannerHarness {
	b.Helper()
	h := newHarnessFor(b)
	agents := make([]string, 0, size)
	for i := range size {
		agents = append(agents, fmt.Sprintf("agent-%d", i))
		h.report(agents[i], fmt.Sprintf("r%d", i/7), nil)
	}
	for i := range 2 * size {
		h.submit(singleTaskJob(fmt.Sprintf("a%015d", i), "renders", "schools", 4))
	}
	h.planAndCommit()
	for i, agent := range agents {
		h.report(agent, fmt.Sprintf("r%d", i/7), func(report *cellpb.Report) {
			for run := range h.planner.runsByAgent[agent] {
				report.Running = append(report.Running, &cellpb.RunningTask{
					Task:    run.task.id.String(),
					Run:     1,
					Percent: 10,
				})
			}
		})
	}
	for i := range size {
		h.submit(singleTaskJob(fmt.Sprintf("b%015d", i), "quotes", "none", 8))
		h.submit(singleTaskJob(fmt.Sprintf("c%015d", i), "checks", "none", 1))
	}
	return h
}
