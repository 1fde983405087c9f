package cell

import (
	"errors"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// Heartbeat is an executor's report of its own state.
type Heartbeat struct {
	Executor *cellpb.Executor
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64
	// Leaving is set when the executor shuts down.
	Leaving bool
}

// Inventory lists the running and ended tasks of an executor.
type Inventory struct {
	// Born is the start time of the executor's incarnation, in milliseconds since 1970; 0 if the executor doesn't
	// report it.
	Born int64
	// Clock is the reading of the executor's monotonic clock.
	Clock   time.Duration
	Running []*cellpb.RunningTask
	Ended   []*cellpb.EndedTask
}

// Hold requests an executor's inventory and extends the leases of its runs.
type Hold struct {
	// Executor is the id of the executor that the request is for.
	Executor string
	Fence    int64
	// Recorded is the number of the newest end in the cell's log; the executor drops ends up to it.
	Recorded int64
	// Until is the new end of the leases on the executor's clock; 0 leaves them unchanged.
	Until time.Duration
	// Wait is how long the executor may delay its answer until a run ends.
	Wait time.Duration
}

// TaskStart orders an executor to start a run.
type TaskStart struct {
	Executor   string
	Task       string
	Run        int32
	Spec       string
	Checkpoint string
	Ticket     string
	// Until is the time on the executor's clock after which the executor refuses the start.
	Until time.Duration
	Fence int64
}

// TaskStop orders an executor to end a run, or not to start it.
type TaskStop struct {
	Executor string
	Task     string
	Run      int32
	Fence    int64
}

// RejectedError means that an executor refused an order without side effects.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "executor refused: " + e.Reason
}

// ErrOtherLife means that the addressed incarnation of the executor is gone; another one answered.
var ErrOtherLife = errors.New("another incarnation of the executor answered")
