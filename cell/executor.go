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
	// ShuttingDown is set when the executor shuts down.
	ShuttingDown bool
}

// Inventory lists the running and ended tasks of an executor.
type Inventory struct {
	// Born is the start time of the executor's incarnation, in milliseconds since the Unix epoch; 0 if the executor
	// doesn't report it.
	Born int64
	// Clock is the reading of the executor's monotonic clock.
	Clock   time.Duration
	Running []*cellpb.RunningTask
	Ended   []*cellpb.EndedTask
	// Truncated is set if the executor has more ends than one response lists.
	Truncated bool
}

// HoldRequest requests an executor's inventory and extends the leases of its runs.
type HoldRequest struct {
	// Executor is the id of the executor that the request is for.
	Executor string
	Fence    int64
	// RecordedEnd is the number of the newest end in the cell's log; the executor drops ends up to it.
	RecordedEnd int64
	// LeaseEnd is the new end of the leases on the executor's clock; 0 leaves them unchanged.
	LeaseEnd time.Duration
	// Wait is how long the executor may delay its response until a run ends.
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
	// StartDeadline is the time on the executor's clock after which the executor rejects the start.
	StartDeadline time.Duration
	Fence         int64
}

// TaskStop orders an executor to end a run, or not to start it.
type TaskStop struct {
	Executor string
	Task     string
	Run      int32
	Fence    int64
}

// OrderRejectedError means that an executor rejected an order without side effects.
type OrderRejectedError struct {
	Reason string
}

// Error implements error.
func (e *OrderRejectedError) Error() string {
	return "executor rejected the order: " + e.Reason
}

// ErrNotListening means that no process listens at the executor's address.
var ErrNotListening = errors.New("no process listens at the address")

// ErrOtherIncarnation means that the addressed incarnation of the executor is gone; another one responded.
var ErrOtherIncarnation = errors.New("another incarnation of the executor responded")
