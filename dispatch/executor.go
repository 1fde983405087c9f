package dispatch

import (
	"fmt"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// room is what tasks take of an executor.
type room struct {
	cpu          int64
	memory       int64
	accelerators int64
}

func roomOf(step *cellpb.Step) room {
	if step.GetFills() {
		return room{
			memory:       step.GetMemoryMb(),
			accelerators: step.GetAccelerators(),
		}
	}
	return room{
		cpu:          step.GetCpu(),
		memory:       step.GetMemoryMb(),
		accelerators: step.GetAccelerators(),
	}
}

func (r room) fits(need room) bool {
	return r.cpu >= need.cpu && r.memory >= need.memory && r.accelerators >= need.accelerators
}

func (r room) minus(need room) room {
	return room{
		cpu:          r.cpu - need.cpu,
		memory:       r.memory - need.memory,
		accelerators: r.accelerators - need.accelerators,
	}
}

func (r room) plus(freed room) room {
	return room{
		cpu:          r.cpu + freed.cpu,
		memory:       r.memory + freed.memory,
		accelerators: r.accelerators + freed.accelerators,
	}
}

// executor is what an agent reports.
type executor struct {
	agent   string
	address string
	process int64
	// sequence is that of the last report.
	sequence uint64
	state    *cellpb.Executor
	life     string
	// heard is when the agent last reported; confirmed is set once it reported under this scheduler's epoch.
	heard     time.Duration
	confirmed bool
	// ends are the processed ends that the log doesn't hold yet.
	ends []processedEnd
	// seen is the highest processed end of this life, recorded the highest that is stored.
	seen     int64
	recorded int64
	// strays are runs that must not exist.
	strays map[string]*cellpb.Stop
	health health
	// slowUntil is how long the executor counts as slow.
	slowUntil time.Duration
	// version changes with what there is to tell the agent.
	version int64
	// holdOff keeps new work away after the executor refused a start.
	holdOff time.Duration
}

type processedEnd struct {
	number int64
	batch  int64
}

func lifeOf(state *cellpb.Executor) string {
	return fmt.Sprintf("%s/%d", state.GetId(), state.GetBorn())
}

func (e *executor) rack() string {
	labels := e.state.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (e *executor) capacity() room {
	return room{
		cpu:          e.state.GetCpu(),
		memory:       e.state.GetMemoryMb(),
		accelerators: e.state.GetAccelerators(),
	}
}

func (e *executor) has(label string) bool {
	return label == "" || slices.Contains(e.state.GetLabels(), label)
}

// settle moves the ends of stored batches to recorded, in order: the executor forgets all ends up to recorded. It
// reports whether there were any.
func (e *executor) settle(committed int64) bool {
	before := e.recorded
	for len(e.ends) > 0 && e.ends[0].batch <= committed {
		e.recorded = e.ends[0].number
		e.ends = e.ends[1:]
	}
	return e.recorded != before
}
