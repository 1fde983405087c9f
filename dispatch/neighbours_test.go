package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/runtimes"
)

// imageJob returns a job of one task of an image that takes half of an executor.
func imageJob(id, image string) *cellpb.Job {
	job := singleTaskJob(id, "renders", "none", 4)
	job.Steps[0].Image = image
	return job
}

// setConflict makes the planner know that tasks of one image take slowdown times as long beside another image.
func (h *plannerHarness) setConflict(image, neighbour string, slowdown float64) {
	for step := range 10 {
		var runs []runtimes.Run
		for i := range 6 {
			run := runtimes.Run{
				Task:     int32(i),
				Machine:  fmt.Sprintf("other-%d", i),
				Duration: time.Second,
			}
			if i%2 == step%2 {
				run.Beside = []string{"image " + neighbour}
				run.Duration = time.Duration(slowdown * float64(time.Second))
			}
			runs = append(runs, run)
		}
		h.planner.runTimes.Observe(runtimes.Step{
			ID:   fmt.Sprintf("%s-%d", image, step),
			Kind: "image " + image,
		}, runs)
	}
}

// Two images that slow each other by 1.5: they must end up apart where there is room, and together where there is none.
// Without such knowledge the tightest fit puts them together.
func TestImagesThatSlowEachOther(t *testing.T) {
	tests := []struct {
		name      string
		slowdown  float64
		executors int
		images    []string
		together  bool
	}{
		{name: "nothing known", slowdown: 1, executors: 2, images: []string{"encode", "render"}, together: true},
		{name: "room elsewhere", slowdown: 1.5, executors: 2, images: []string{"encode", "render"}},
		{name: "the other way round", slowdown: 1.5, executors: 2, images: []string{"render", "encode"}},
		{name: "no room elsewhere", slowdown: 1.5, executors: 1, images: []string{"encode", "render"}, together: true},
		{name: "equal images", slowdown: 1.5, executors: 2, images: []string{"render", "render"}, together: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.setConflict("render", "encode", test.slowdown)
			for i := range test.executors {
				h.report(fmt.Sprintf("agent-%d", i), "r1", nil)
			}
			var agents []string
			for i, image := range test.images {
				id := fmt.Sprintf("a%015d", i)
				h.submit(imageJob(id, image))
				h.planAndCommit()
				agents = append(agents, h.planner.findTask(id+".0.0.0").run.agent)
			}
			require.Equal(t, test.together, agents[0] == agents[1], agents)
		})
	}
}

// The slowdown must be learned from the progress of runs: only half of the tasks of a step have the neighbour, each
// time on other executors.
func TestNeighboursAreLearnedFromProgress(t *testing.T) {
	h := newHarness(t)
	const executors = 6
	for i := range executors {
		h.report(fmt.Sprintf("agent-%d", i), "r1", nil)
	}
	var neighbours []string
	for i := range executors / 2 {
		job := imageJob(fmt.Sprintf("b%015d", i), "encode")
		job.Steps[0].EstimateMs = 600_000
		h.submit(job)
		neighbours = append(neighbours, job.GetId()+".0.0.0")
	}
	h.planAndCommit()
	for phase := range 6 {
		beside := map[string]bool{}
		for i, id := range neighbours {
			agent := fmt.Sprintf("agent-%d", (phase+2*i)%executors)
			h.planner.findTask(id).run.agent = agent
			beside[agent] = true
		}
		h.spreadRuns()
		h.runGang(fmt.Sprintf("a%015d", phase), executors, beside)
	}
	require.InDelta(t, 1.5, h.planner.runTimes.NeighbourSlowdown("image render", "image encode"), 0.2)
	require.False(t, h.planner.runTimes.Uneven(), "no executor is slow")
}

// runGang runs a gang of the image render with one task on each executor, which takes 1.5 times as long beside others.
func (h *plannerHarness) runGang(id string, tasks int32, beside map[string]bool) {
	job := imageJob(id, "render")
	job.Steps[0].Count = tasks
	job.Steps[0].Accelerators = 1
	job.Steps[0].Spread = 1
	job.Steps[0].Gang = true
	h.submit(job)
	h.planAndCommit()
	for second := range int32(4) {
		for i := range tasks {
			agent := fmt.Sprintf("agent-%d", i)
			rate := int32(21)
			if beside[agent] {
				rate = 14
			}
			h.reportProgress(agent, rate*second)
		}
		h.planAndCommit()
		h.advance(time.Second)
	}
	h.planAndCommit()
	h.planner.SetJob(cell.JobState{
		Job:       job,
		Cancelled: true,
	}, h.now)
	for _, run := range h.planner.jobs[id].activeRuns() {
		h.planner.removeRun(run)
	}
}

// spreadRuns moves the registered runs to the agents that they name.
func (h *plannerHarness) spreadRuns() {
	runs := map[string]map[*taskRun]bool{}
	h.planner.eachRun(func(run *taskRun) {
		if runs[run.agent] == nil {
			runs[run.agent] = map[*taskRun]bool{}
		}
		run.incarnation = h.planner.executors[run.agent].incarnation
		runs[run.agent][run] = true
	})
	h.planner.runsByAgent = runs
}
