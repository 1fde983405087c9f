package dispatch

import (
	"fmt"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// requestedResources returns the resources that a task of a step requests. A step with fills set reserves no CPU.
func requestedResources(step *cellpb.Step) cell.Capacity {
	if step.GetFills() {
		return cell.Capacity{
			MemoryMB:     step.GetMemoryMb(),
			Accelerators: step.GetAccelerators(),
		}
	}
	return cell.Capacity{
		CPUMillis:    step.GetCpu(),
		MemoryMB:     step.GetMemoryMb(),
		Accelerators: step.GetAccelerators(),
	}
}

// executor is the state of an executor as reported by its agent.
type executor struct {
	agent   string
	address string
	// process identifies the run of the agent's process that sent the last report; later runs have greater values.
	process int64
	// sequence is the sequence number of the last report.
	sequence    uint64
	state       *cellpb.Executor
	incarnation string
	// reportedIncarnation is the newest incarnation that the agent reported. It becomes incarnation once a report shows
	// that it was contacted with a fence of the required generation.
	reportedIncarnation string
	// generation is the lowest generation of the fences for requests to reportedIncarnation.
	generation int64
	// largest is the most of each resource that this incarnation has shown as its capacity.
	largest cell.Capacity
	// reportedAt is when the agent last reported with this scheduler's epoch; epochConfirmed is set once it has.
	reportedAt     time.Duration
	epochConfirmed bool
	// answeredAt is when a report first showed the executor's newest response to its agent. Leases end that long after
	// it, because no grant goes beyond the clock reading in that response.
	answeredAt time.Duration
	// unstoredEnds holds the processed ends that are not stored in the log yet.
	unstoredEnds []processedEnd
	// lastEnd is the highest processed end number of this incarnation, lastStoredEnd the highest stored one.
	lastEnd       int64
	lastStoredEnd int64
	// orphans holds the stop orders for runs that the executor reports but the planner doesn't expect there.
	orphans map[string]*cellpb.Stop
	health  health
	// slowdown is the one that was last logged; 0 if none was.
	slowdown float64
	// slowUntil is the time until which the executor counts as slow.
	slowUntil time.Duration
	// ordersVersion changes whenever the orders for the agent change.
	ordersVersion int64
	// noStartsUntil delays new work after the executor rejected a start.
	noStartsUntil time.Duration
	// incarnationProcess is the run of the agent's process that last reported the current incarnation.
	incarnationProcess int64
	// crashedAt is when the last incarnation that crashed last answered, crashExplained what explains the crash.
	crashedAt      time.Duration
	crashExplained explanation
	// lapsedRuns holds the runs whose leases ran out while the current incarnation was silent.
	lapsedRuns []crashedRun
}

type processedEnd struct {
	number int64
	batch  int64
}

// outdates reports whether a report is older than one already processed. The number of an agent's process is the time
// of day of its start, which may have jumped back. So what an executor shows decides between processes: its clock for
// the same incarnation, and for another one a contact with this scheduler's epoch and the newest generation, which an
// earlier process can't have made.
func (e *executor) outdates(report *cellpb.Report, epoch int64) bool {
	if report.GetProcess() == e.process {
		return report.GetSequence() <= e.sequence
	}
	hasEarlierNumber := report.GetProcess() < e.process
	if incarnationOf(report.GetExecutor()) != e.incarnation {
		return hasEarlierNumber && (report.GetEpoch() != epoch || report.GetGeneration() < e.generation)
	}
	reported, known := report.GetExecutor().GetSteadyMs(), e.state.GetSteadyMs()
	return reported < known || (hasEarlierNumber && reported == known)
}

// assignGeneration assigns the next generation to an incarnation that the agent reports for the first time.
func (e *executor) assignGeneration(report *cellpb.Report) {
	incarnation := incarnationOf(report.GetExecutor())
	if e.reportedIncarnation != "" && incarnation != e.reportedIncarnation {
		e.generation = cell.NextGeneration(e.generation)
		e.ordersVersion++
	}
	e.reportedIncarnation = incarnation
	e.generation = max(e.generation, report.GetGeneration(), report.GetNewestGeneration())
}

func incarnationOf(state *cellpb.Executor) string {
	return fmt.Sprintf("%s/%d", state.GetId(), state.GetBorn())
}

// rack returns the name of the executor's rack, which is its last label.
func (e *executor) rack() string {
	labels := e.state.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// kind returns the name of the executor's kind, which is its first label.
func (e *executor) kind() string {
	labels := e.state.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[0]
}

func (e *executor) capacity() cell.Capacity {
	return cell.CapacityOf(e.state)
}

// clock is the reading of the executor's monotonic clock when the reported lists were read.
func (e *executor) clock() time.Duration {
	return time.Duration(e.state.GetSteadyMs()) * time.Millisecond
}

// clockAt is the expected reading of the executor's monotonic clock at a time.
func (e *executor) clockAt(now Instant) time.Duration {
	return e.clock() + now.BootTime - e.answeredAt
}

func (e *executor) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.state.GetLabels(), label)
}

// acknowledgeEnds advances lastStoredEnd over the ends of stored batches, in order, and reports whether it changed. The
// executor drops all ends up to lastStoredEnd.
func (e *executor) acknowledgeEnds(committedBatch int64) bool {
	previous := e.lastStoredEnd
	for len(e.unstoredEnds) > 0 && e.unstoredEnds[0].batch <= committedBatch {
		e.lastStoredEnd = e.unstoredEnds[0].number
		e.unstoredEnds = e.unstoredEnds[1:]
	}
	return e.lastStoredEnd != previous
}
