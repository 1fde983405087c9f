package cell

import (
	"errors"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// Heartbeat is what an executor says of itself.
type Heartbeat struct {
	Executor *cellpb.Executor
	// Sequence rises with each heartbeat of one life.
	Sequence int64
	// Leaving is set when the executor ends.
	Leaving bool
}

// Inventory is what an executor runs and what ended there.
type Inventory struct {
	// Born is when the executor's life began, in milliseconds since 1970; 0 if the executor didn't say.
	Born int64
	// Clock is the executor's steady clock.
	Clock   time.Duration
	Running []*cellpb.RunningTask
	Ended   []*cellpb.EndedTask
}

// Hold asks an executor for its inventory and extends its leases.
type Hold struct {
	// Executor is the life that is meant.
	Executor string
	Fence    int64
	// Recorded ends are forgotten by the executor.
	Recorded int64
	// Until extends the leases on the executor's clock; 0 leaves them.
	Until time.Duration
	// Wait is how long the executor may wait for an end.
	Wait time.Duration
}

// TaskStart orders a run.
type TaskStart struct {
	Executor   string
	Task       string
	Run        int32
	Spec       string
	Checkpoint string
	Ticket     string
	// Until is the executor's clock after which the start is refused.
	Until time.Duration
	Fence int64
}

// TaskStop ends a run, or keeps it from starting.
type TaskStop struct {
	Executor string
	Task     string
	Run      int32
	Fence    int64
}

// RejectedError means that an executor refused an order and did nothing.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "executor refused: " + e.Reason
}

// ErrOtherLife means that the executor that was meant is gone; another one answered.
var ErrOtherLife = errors.New("another life of the executor answered")
