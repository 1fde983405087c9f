package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
)

const (
	// busyWait and idleWait are how long the executor may wait for an end before it answers.
	busyWait = 500 * time.Millisecond
	idleWait = time.Second
	// orderLimit bounds one order to the executor, which is on the same machine.
	orderLimit = 600 * time.Millisecond
	orderPause = 40 * time.Millisecond
	// startWindow is how long after its order a start may be carried out.
	startWindow = 2500 * time.Millisecond
	// callLimit bounds a call to the scheduler, which holds it for up to a second.
	callLimit = 1700 * time.Millisecond
	callPause = 60 * time.Millisecond
	// reportInterval is how often progress is reported while nothing else happens.
	reportInterval = time.Second
	// forwardLimit bounds a call that is forwarded for another agent.
	forwardLimit = 1500 * time.Millisecond
	// clockDrift is how much slower the executor's clock may run.
	clockDrift = 0.02
)

// ExecutorPort orders tasks from the executor.
type ExecutorPort struct {
	Hold  func(ctx context.Context, hold cell.Hold) (cell.Inventory, error)
	Start func(ctx context.Context, start cell.TaskStart) error
	Stop  func(ctx context.Context, stop cell.TaskStop) error
}

// Config configures a Node.
type Config struct {
	ID string
	// Address is where this agent forwards calls of other agents.
	Address string
	// Process is greater than that of earlier runs of this agent's process.
	Process  int64
	Entries  []string
	Logger   hclog.Logger
	Clock    clockwork.Clock
	Boot     boottime.Clock
	Executor ExecutorPort
	// Exchange makes a call of the peer protocol.
	Exchange func(ctx context.Context, address string, request, reply proto.Message) error
	// Forget drops the connection to an address.
	Forget func(address string)
}
