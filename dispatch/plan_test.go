package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// testJobID is the id of the job under test.
const testJobID = "a000000000000001"

// taskAgents returns the agent of each task of a step of the job under test, empty for tasks without a run.
func (h *plannerHarness) taskAgents(step int32) []string {
	h.t.Helper()
	var agents []string
	for _, t := range h.planner.jobs[testJobID].group(0, step).tasks {
		agent := ""
		if t.run != nil {
			agent = t.run.agent
		}
		agents = append(agents, agent)
	}
	return agents
}

// A step's placement must honor its constraints and the state of the executors, regardless of free resources elsewhere.
func TestPlacement(t *testing.T) {
	const id = testJobID
	tests := []struct {
		name   string
		change func(step *cellpb.Step)
		zone   string
		want   []string
	}{
		{name: "gang in one rack", want: []string{"agent-2", "agent-3"}, change: func(step *cellpb.Step) {
			step.Count = 2
			step.Accelerators = 8
			step.Gang = true
			step.SameRack = true
		}},
		{name: "gang that doesn't fit as a whole", want: []string{"", "", "", ""}, change: func(step *cellpb.Step) {
			step.Count = 4
			step.Accelerators = 8
			step.Gang = true
		}},
		{name: "data rack", want: []string{"agent-1"}, change: func(step *cellpb.Step) {
			step.DataRack = "r1"
		}},
		{name: "label that no executor has", want: []string{""}, change: func(step *cellpb.Step) {
			step.RequiredLabel = "z"
		}},
		{name: "spread", want: []string{"agent-1", "agent-2", "agent-3"}, change: func(step *cellpb.Step) {
			step.Count = 3
			step.Spread = 1
		}},
		{name: "evacuated availability zone", zone: "suva", want: []string{""}, change: func(*cellpb.Step) {}},
		{name: "larger than any executor", want: []string{""}, change: func(step *cellpb.Step) {
			step.Accelerators = 9
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.report("agent-1", "r1", nil)
			h.report("agent-2", "r2", nil)
			h.report("agent-3", "r2", nil)
			h.planner.SetOperations(h.planner.operations.WithZone(test.zone, true))
			job := singleTaskJob(id, "renders", "schools", 1)
			test.change(job.GetSteps()[0])
			h.submit(job)
			h.planAndCommit()
			require.ElementsMatch(t, test.want, h.taskAgents(0))
		})
	}
}

// A step must not start before its dependencies are done.
func TestStepWaitsForDependencies(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	job := singleTaskJob(id, "renders", "schools", 1)
	job.Steps = append(job.Steps, &cellpb.Step{
		Count:        1,
		Accelerators: 1,
		DependsOn:    []int32{0},
	})
	h.submit(job)
	h.planAndCommit()
	require.Equal(t, []string{""}, h.taskAgents(1))
	h.report("agent-1", "r1", func(report *cellpb.Report) {
		report.Ended = []*cellpb.EndedTask{
			{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: cellpb.EndKind_END_KIND_DONE},
		}
	})
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(1))
}

// An occurrence must not start before its start time.
func TestOccurrenceWaitsForStartTime(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	job := singleTaskJob(id, "renders", "schools", 1)
	job.StartMs = h.now.WallMs + 1000
	h.submit(job)
	h.planAndCommit()
	require.Equal(t, []string{""}, h.taskAgents(0))
	h.advance(time.Second)
	h.report("agent-1", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
}

// A run at a silent executor may still exist until its lease has certainly expired. Ordering it again earlier would run
// it twice.
func TestSilentExecutorKeepsRunsUntilLeaseTimeout(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	h.startTestJob()
	h.requireTestJobMoves(h.planner.config.leaseTimeout())
	require.EqualValues(t, 2, h.planner.findTask(id+".0.0.0").runNumber, "run numbers increase")
}

// startTestJob lets agent-1 run a task of testJobID.
func (h *plannerHarness) startTestJob() {
	h.t.Helper()
	h.report("agent-1", "r1", nil)
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	h.report("agent-1", "r1", reportRunning(testJobID+".0.0.0"))
}

// requireTestJobMoves requires that the task of startTestJob is started on agent-2 after a timeout and not before.
func (h *plannerHarness) requireTestJobMoves(timeout time.Duration) {
	h.t.Helper()
	h.advance(timeout - time.Millisecond)
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	require.Equal(h.t, []string{"agent-1"}, h.taskAgents(0))
	h.advance(2 * time.Millisecond)
	h.planAndCommit()
	require.Equal(h.t, []string{"agent-2"}, h.taskAgents(0))
}

// Guards against runs that are never given up because the agent of a crashed executor goes on reporting: its reports
// repeat the lists of the last response. Such an executor must get no new work, and its runs end with their leases.
func TestCrashedExecutorWithLiveAgentLosesRuns(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	h.advance(time.Second)
	h.startTestJob()
	readAt := (h.now.BootTime - h.startedAt).Milliseconds()
	reportSilence := func(report *cellpb.Report) {
		reportRunning(id + ".0.0.0")(report)
		report.Executor.SteadyMs = readAt
		report.Executor.Silent = true
	}
	for range int(h.planner.config.leaseTimeout() / time.Second) {
		h.advance(time.Second)
		h.report("agent-1", "r1", reportSilence)
		h.planAndCommit()
		require.Equal(t, []string{"agent-1"}, h.taskAgents(0), "its lease may not have ended yet")
	}
	h.submit(singleTaskJob("b000000000000001", "quotes", "weddings", 1))
	h.planAndCommit()
	require.Nil(t, h.planner.findTask("b000000000000001.0.0.0").run, "new work on a silent executor")

	h.advance(time.Second)
	h.report("agent-1", "r1", reportSilence)
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{"agent-2"}, h.taskAgents(0))
}

// Guards against orders that are withdrawn before they are sent, because the executor's last response is older than the
// report timeout: agents poll an idle executor once a second and report as often, so that is nothing unusual.
func TestUnsentOrderWaitsForReportingAgent(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	h.report("agent-1", "r1", nil)
	readAt := (h.now.BootTime - h.startedAt).Milliseconds()
	h.advance(defaultReportTimeout + 100*time.Millisecond)
	h.report("agent-1", "r1", func(report *cellpb.Report) { report.Executor.SteadyMs = readAt })
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planner.Plan(h.now)
	h.planner.Expire(h.now)
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
	require.EqualValues(t, 1, h.planner.findTask(testJobID+".0.0.0").runNumber)
	h.advance(defaultReportTimeout + 100*time.Millisecond)
	h.planner.Expire(h.now)
	require.Nil(t, h.planner.findTask(testJobID+".0.0.0").run, "the agent is silent")
}

// Executors shorten leases to MaxLease. Without accounting for it, work of a lost executor waited 10 s for leases that
// had ended after 6 s.
func TestLeaseTimeoutHonorsMaxLease(t *testing.T) {
	config := Config{
		LeaseDuration: 10 * time.Second,
		MaxLease:      6 * time.Second,
	}
	longest := 6*time.Second + 120*time.Millisecond + defaultStopGrace + 300*time.Millisecond
	require.Equal(t, longest, config.withDefaults().leaseTimeout())
	config.MaxLease = 0
	require.Greater(t, config.withDefaults().leaseTimeout(), 10*time.Second)
}

// After a takeover, the new scheduler must wait for leases that the previous one may have granted to agents that
// haven't reported since.
func TestTakeoverWaitsForPredecessorLeases(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	job := singleTaskJob(id, "renders", "schools", 1)
	job.Occurrences = 1
	h.planner.SetJob(cell.JobState{
		Job: job,
		Progress: &cellpb.Progress{
			Id:    id,
			State: cellpb.State_STATE_RUNNING,
			Begun: true,
			Tasks: []*cellpb.Task{{Run: 3, Agent: "agent-1", Executor: "i-agent-1/1"}},
		},
	}, h.now)
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	h.advance(h.planner.config.PredecessorValidity + h.planner.config.leaseTimeout())
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
	h.advance(time.Millisecond)
	h.report("agent-2", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{"agent-2"}, h.taskAgents(0))
	require.EqualValues(t, 4, h.planner.findTask(id+".0.0.0").runNumber)
}

// The runs of a cancelled job are stopped, and so is a reported run that the planner doesn't expect at that executor.
func TestCancelledAndOrphanedRunsAreStopped(t *testing.T) {
	const id = testJobID
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	job := singleTaskJob(id, "renders", "schools", 1)
	h.submit(job)
	h.planAndCommit()
	h.report("agent-1", "r1", reportRunning(id+".0.0.0", "f000000000000001.0.0.0"))
	h.planner.SetJob(cell.JobState{
		Job:       job,
		Cancelled: true,
	}, h.now)
	h.planAndCommit()
	stops := map[string]bool{}
	for _, stop := range h.planner.Orders("agent-1", h.now).GetStops() {
		stops[stop.GetTask()] = true
	}
	require.Equal(t, map[string]bool{id + ".0.0.0": true, "f000000000000001.0.0.0": true}, stops)
}

// With more quotes than fit, a quote that is already late must not be placed before one that can still be on time, or
// every quote after the first burst is late.
func TestOnTimeUnitPrecedesLateUnit(t *testing.T) {
	h := newHarness(t)
	late := singleTaskJob("b000000000000001", "quotes", "none", 8)
	h.submit(late)
	h.advance(1500 * time.Millisecond)
	h.submit(singleTaskJob(testJobID, "quotes", "none", 8))
	h.report("agent-1", "r1", nil)
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
}

// An executor restarts and executes, as its next incarnation, an order for the previous one. The end of that run must
// count, or the task is ordered again although it is done.
func TestEndReportedByNextIncarnationCounts(t *testing.T) {
	const taskID = testJobID + ".0.0.0"
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	h.report("agent-1", "r1", func(report *cellpb.Report) {
		report.Executor.Born++
		report.Ended = []*cellpb.EndedTask{
			{Number: 1, Task: taskID, Run: 1, Kind: cellpb.EndKind_END_KIND_DONE},
		}
	})
	h.planAndCommit()
	require.True(t, h.planner.findTask(taskID).done)
	require.Equal(t, []string{""}, h.taskAgents(0))
}

// A start that was meant for an earlier incarnation may take effect at the next one until that was contacted with a
// higher fence. If its run were given up before, the task would run there and elsewhere at the same time.
func TestRunsAreKeptUntilNextIncarnationIsContacted(t *testing.T) {
	const taskID = testJobID + ".0.0.0"
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	h.report("agent-2", "r1", nil)
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))

	restarted := h.executorState("agent-1", "r1")
	restarted.Born++
	report := &cellpb.Report{
		Agent:    "agent-1",
		Process:  1,
		Epoch:    testEpoch,
		Executor: restarted,
	}
	for range 2 {
		h.sequence++
		report.Sequence = h.sequence
		require.True(t, h.planner.Report(report, testEpoch, h.now))
		h.planAndCommit()
		require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
		require.Equal(t, int64(1), h.planner.Orders("agent-1", h.now).GetGeneration())
	}
	h.report("agent-2", "r1", func(report *cellpb.Report) { report.Executor.Draining = true })
	h.submit(singleTaskJob("b000000000000001", "renders", "schools", 1))
	h.planAndCommit()
	require.Nil(t, h.planner.findTask("b000000000000001.0.0.0").run, "the executor can't be used yet")

	h.sequence++
	report.Sequence = h.sequence
	report.Generation = 1
	require.True(t, h.planner.Report(report, testEpoch, h.now))
	require.Nil(t, h.planner.findTask(taskID).run)
}

// A persistent task runs until its job is cancelled. However a run ends, the task must be restarted, and failures must
// not end the job. Urgent work must not preempt it, since others depend on it.
func TestPersistentTaskIsRestarted(t *testing.T) {
	const taskID = testJobID + ".0.0.0"
	kinds := []cellpb.EndKind{
		cellpb.EndKind_END_KIND_DONE,
		cellpb.EndKind_END_KIND_FAILED,
		cellpb.EndKind_END_KIND_FAILED,
		cellpb.EndKind_END_KIND_LAPSED,
	}
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	job := singleTaskJob(testJobID, "checks", "schools", 8)
	job.Steps[0].Persistent = true
	h.submit(job)
	h.planAndCommit()
	for i, kind := range kinds {
		h.report("agent-1", "r1", func(report *cellpb.Report) {
			report.Ended = []*cellpb.EndedTask{{Number: int64(i + 1), Task: taskID, Run: int32(i + 1), Kind: kind}}
		})
		h.advance(time.Second)
		h.report("agent-1", "r1", nil)
		h.planAndCommit()
		require.EqualValues(t, i+2, h.planner.findTask(taskID).runNumber, "after %s", kind)
		require.Equal(t, []string{"agent-1"}, h.taskAgents(0), "after %s", kind)
		require.True(t, h.planner.jobs[testJobID].active(), "after %s", kind)
	}
	h.submit(singleTaskJob("b000000000000001", "quotes", "weddings", 8))
	h.planAndCommit()
	require.Empty(t, h.planner.Orders("agent-1", h.now).GetStops())
}
