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

const testEpoch = 7

// plannerHarness drives a planner and simulates the reports of executors.
type plannerHarness struct {
	t       testing.TB
	planner *Planner
	now     Instant
	// sequence is the sequence number of the last report.
	sequence   uint64
	endNumbers map[string]int64
	// startedAt is when the executors' clocks started.
	startedAt time.Duration
	// simulatedSince holds when each run was first simulated.
	simulatedSince map[string]time.Duration
}

func newHarness(t *testing.T) *plannerHarness {
	t.Helper()
	return newHarnessFor(t)
}

func newHarnessFor(t testing.TB) *plannerHarness {
	t.Helper()
	now := Instant{
		BootTime: time.Minute,
		WallMs:   1_700_000_000_000,
	}
	planner := New(Config{
		LeaseDuration:       10 * time.Second,
		PredecessorValidity: 3 * time.Second,
		RemoteSlowdown:      3,
	}, now)
	planner.SetOperations(cell.Operations{
		Loaded: true,
		Config: cell.Config{
			Version: 1,
			Queues: []cell.Queue{
				{Name: "quotes", Service: "desk", Priority: 0, MaxFailures: 2, Stretch: 1.5},
				{Name: "renders", Service: "desk", Priority: 1, MaxFailures: 2, Stretch: 3},
				{Name: "checks", Service: "desk", Priority: 2, MaxFailures: 2, Stretch: 3},
			},
			Workspaces: []cell.Workspace{
				{Name: "weddings", Guaranteed: 16},
				{Name: "schools", Guaranteed: 8},
			},
		},
	})
	return &plannerHarness{
		t:              t,
		planner:        planner,
		now:            now,
		endNumbers:     map[string]int64{},
		startedAt:      now.BootTime,
		simulatedSince: map[string]time.Duration{},
	}
}

// setWork makes the planner know what the steps of a queue take.
func (h *plannerHarness) setWork(queue string, work time.Duration) {
	for i := range 8 {
		h.planner.runTimes.Observe(runtimes.Step{
			ID:    fmt.Sprint(i),
			Queue: queue,
		}, []runtimes.Run{
			{
				Machine:  "other",
				Duration: work,
			},
		})
	}
}

func (h *plannerHarness) advance(d time.Duration) {
	h.now.BootTime += d
	h.now.WallMs += d.Milliseconds()
}

// executorState returns an executor with 8 accelerators and 32 cores.
func (h *plannerHarness) executorState(agent, rack string) *cellpb.Executor {
	return &cellpb.Executor{
		Id:           "i-" + agent,
		Born:         1,
		Service:      "desk",
		Zone:         "suva",
		Cpu:          32000,
		MemoryMb:     64000,
		Accelerators: 8,
		Labels:       []string{"a", rack},
		SteadyMs:     (h.now.BootTime - h.startedAt).Milliseconds(),
	}
}

func (h *plannerHarness) report(agent, rack string, change func(report *cellpb.Report)) *cellpb.Orders {
	h.t.Helper()
	h.sequence++
	report := &cellpb.Report{
		Agent:    agent,
		Process:  1,
		Sequence: h.sequence,
		Epoch:    testEpoch,
		Executor: h.executorState(agent, rack),
	}
	if change != nil {
		change(report)
	}
	// The agent has contacted each incarnation with a higher generation than the one before.
	report.Generation = report.GetExecutor().GetBorn() - 1
	require.True(h.t, h.planner.Report(report, testEpoch, h.now))
	return h.planner.Orders(agent, h.now)
}

func (h *plannerHarness) submit(job *cellpb.Job) {
	job.AcceptedMs = h.now.WallMs
	job.Occurrences = max(job.GetOccurrences(), 1)
	h.planner.SetJob(cell.JobState{
		Job: job,
	}, h.now)
}

// simulateRun adds a run to a report of its executor: as running, or once it has run for a duration, as ended.
func (h *plannerHarness) simulateRun(
	report *cellpb.Report, run *taskRun, duration time.Duration, kind cellpb.EndKind,
) {
	id := run.task.id.String()
	key := fmt.Sprintf("%s/%d", id, run.runNumber)
	if _, ok := h.simulatedSince[key]; !ok {
		h.simulatedSince[key] = h.now.BootTime
	}
	ranFor := h.now.BootTime - h.simulatedSince[key]
	if ranFor < duration {
		report.Running = append(report.Running, &cellpb.RunningTask{
			Task:    id,
			Run:     run.runNumber,
			Percent: int32(100 * ranFor / duration),
		})
		return
	}
	h.endNumbers[run.agent]++
	report.Ended = append(report.Ended, &cellpb.EndedTask{
		Number: h.endNumbers[run.agent],
		Task:   id,
		Run:    run.runNumber,
		Kind:   kind,
	})
}

// planAndCommit runs a planning pass and commits its batch as if it were stored.
func (h *plannerHarness) planAndCommit() {
	h.planner.Expire(h.now)
	h.planner.Plan(h.now)
	batch := h.planner.TakeBatch()
	h.planner.Commit(batch.Number)
}

func singleTaskJob(id, queue, workspace string, accelerators int64) *cellpb.Job {
	return &cellpb.Job{
		Id:        id,
		Queue:     queue,
		Service:   "desk",
		Workspace: workspace,
		Steps: []*cellpb.Step{
			{
				Count:        1,
				Cpu:          1000,
				MemoryMb:     1000,
				Accelerators: accelerators,
				EstimateMs:   2000,
			},
		},
	}
}

// twoMemberGangJob returns a job of one gang with two members, each of which requests the given accelerators.
func twoMemberGangJob(id, queue, workspace string, accelerators int64) *cellpb.Job {
	job := singleTaskJob(id, queue, workspace, accelerators)
	job.Steps[0].Count = 2
	job.Steps[0].Gang = true
	return job
}

// A heartbeat that is stored while a decision waits for its batch must not commit that batch. Otherwise its orders
// would be sent, and the executor would drop its ends, before the log holds them.
func TestEmptyBatchCommitsNothing(t *testing.T) {
	h := newHarness(t)
	h.report("agent-2", "r1", nil)
	heartbeat := h.planner.TakeBatch()
	require.True(t, heartbeat.Empty())

	h.submit(singleTaskJob("a000000000000001", "quotes", "weddings", 1))
	h.planner.Plan(h.now)
	h.planner.Commit(heartbeat.Number)
	require.Empty(t, h.planner.Orders("agent-2", h.now).GetStarts(), "the order's batch isn't stored yet")

	batch := h.planner.TakeBatch()
	require.Len(t, batch.Progress, 1)
	h.planner.Commit(batch.Number)
	require.Len(t, h.planner.Orders("agent-2", h.now).GetStarts(), 1)
}

// An executor drops all ends up to the acknowledged one, so storing an end must not acknowledge an earlier one that
// isn't stored.
func TestEndsAreAcknowledgedInOrder(t *testing.T) {
	h := newHarness(t)
	h.report("agent-1", "r1", nil)
	h.submit(singleTaskJob("a000000000000001", "quotes", "weddings", 1))
	h.planAndCommit()
	orders := h.report("agent-1", "r1", func(report *cellpb.Report) {
		report.Ended = []*cellpb.EndedTask{
			{Number: 1, Task: "a000000000000001.0.0.0", Run: 1, Kind: cellpb.EndKind_END_KIND_DONE},
			{Number: 2, Task: "b000000000000001.0.0.0", Run: 1, Kind: cellpb.EndKind_END_KIND_DONE},
		}
	})
	require.Zero(t, orders.GetRecorded(), "the end of a known task isn't stored yet")
	h.planAndCommit()
	require.EqualValues(t, 2, h.planner.Orders("agent-1", h.now).GetRecorded())
}

// The time of day jumps back while an agent restarts. If the reports of its new process were ignored for good, its runs
// would be given up although they go on, and the executor would get no more work. A delayed report of an earlier
// process must not count, however long the later one has been silent: its rejection would remove a run that works.
func TestAgentThatRestartsWithEarlierClockIsHeard(t *testing.T) {
	h := newHarness(t)
	report := func(process int64, sequence uint64, clock time.Duration, rejected ...*cellpb.Rejected) bool {
		executor := h.executorState("agent-1", "r1")
		executor.SteadyMs = clock.Milliseconds()
		return h.planner.Report(&cellpb.Report{
			Agent:    "agent-1",
			Process:  process,
			Sequence: sequence,
			Epoch:    testEpoch,
			Executor: executor,
			Rejected: rejected,
		}, testEpoch, h.now)
	}
	require.True(t, report(5000, 7, 10*time.Second))
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
	require.False(t, report(5000, 7, 10*time.Second))
	h.advance(2 * defaultReportTimeout)
	rejection := &cellpb.Rejected{
		Task:   testJobID + ".0.0.0",
		Run:    1,
		Reason: "room",
	}
	require.False(t, report(2600, 1, 9*time.Second, rejection), "a delayed report of an earlier process")
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
	require.True(t, report(2600, 2, 11*time.Second), "the executor's clock has advanced")
	require.False(t, report(2600, 1, 12*time.Second))
	require.True(t, report(2600, 3, 12*time.Second))
	require.False(t, report(5000, 8, 10500*time.Millisecond, rejection), "a delayed report of the first process")
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
	require.True(t, report(2600, 4, 13*time.Second))
}

// Guards against an executor without work until the next takeover: the time of day jumps back, and agent and executor
// restart together. The reports of the agent's new process were ignored for good.
func TestAgentThatRestartsWithItsExecutorAndEarlierClockIsHeard(t *testing.T) {
	h := newHarness(t)
	report := func(process, born, epoch int64) bool {
		return h.reportOfProcess(process, born, epoch, h.planner.Orders("agent-1", h.now).GetGeneration())
	}
	require.True(t, report(5000, 2, testEpoch))
	require.False(t, report(2600, 1, 0), "it may be a delayed report of an earlier process")
	require.True(t, report(2600, 1, testEpoch), "the executor was contacted with the newest generation")
	require.True(t, report(2600, 1, testEpoch))
	h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
	h.planAndCommit()
	require.Equal(t, []string{"agent-1"}, h.taskAgents(0))
}

// Guards against a delayed report of an earlier process and incarnation that counts as the newest one: a rejection in
// it removes a run that works. It has this scheduler's epoch, but not the generation of the newest incarnation.
func TestReportOfEarlierProcessAndGenerationIsIgnored(t *testing.T) {
	h := newHarness(t)
	require.True(t, h.reportOfProcess(2600, 1, testEpoch, 0))
	require.True(t, h.reportOfProcess(5000, 2, testEpoch, 1))
	require.Equal(t, int64(1), h.planner.Orders("agent-1", h.now).GetGeneration())
	require.False(t, h.reportOfProcess(2600, 1, testEpoch, 0))
	require.True(t, h.reportOfProcess(2600, 3, testEpoch, 1), "only the newest process knows the newest generation")
}

// reportOfProcess reports an incarnation of the executor at agent-1 from a process of that agent, and returns whether
// the planner used the report.
func (h *plannerHarness) reportOfProcess(process, born, epoch, generation int64) bool {
	h.sequence++
	executor := h.executorState("agent-1", "r1")
	executor.Born = born
	return h.planner.Report(&cellpb.Report{
		Agent:      "agent-1",
		Process:    process,
		Sequence:   h.sequence,
		Epoch:      epoch,
		Generation: generation,
		Executor:   executor,
	}, testEpoch, h.now)
}

// The number of addresses in a reply must not grow with the cell: with all agents in each reply, 300 agents caused 1.7
// MB/s of traffic.
func TestAgentsLimitsAddresses(t *testing.T) {
	h := newHarness(t)
	for _, agent := range []string{"agent-1", "agent-2", "agent-3"} {
		h.report(agent, "r1", func(report *cellpb.Report) { report.Address = agent + ":1" })
	}
	require.Len(t, h.planner.Agents(2, h.now), 2)
	require.Len(t, h.planner.Agents(9, h.now), 3)
	h.advance(defaultReportTimeout)
	require.Empty(t, h.planner.Agents(9, h.now), "silent agents can't forward reports")
}
