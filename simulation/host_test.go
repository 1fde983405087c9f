package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
)

const (
	// orderLatency is how long a message between an agent and its executor takes.
	orderLatency = time.Millisecond
	// heartbeatInterval is how often an executor sends a heartbeat.
	heartbeatInterval = 700 * time.Millisecond
	// minLateness and maxLateness bound how long after it was sent an unanswered order is carried out.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// errRefused means that a connection to an executor was refused.
var errRefused = fmt.Errorf("connection refused: %w: %w", cell.ErrNotListening, cell.ErrOutcomeUnknown)

// host is a machine on which incarnations of an executor follow each other, and the link between it and its agent.
type host struct {
	world    *world
	fleet    *fleet
	name     string
	service  string
	guarded  bool
	fullSize int64
	// restarting holds a value while the agent is being restarted.
	restarting chan struct{}
	// The fleet's mutex guards the fields up to incarnations.
	current      *incarnation
	id           string
	capacity     int64
	capacityAt   time.Duration
	incarnations int
	// mu guards the faults of the link and the agent.
	mu    sync.Mutex
	link  linkFaults
	agent *agentProcess
}

// hold carries out a hold of the agent.
func (h *host) hold(ctx context.Context, order cell.HoldRequest) (cell.Inventory, error) {
	inventory := cell.Inventory{}
	deliver := func(deliverCtx context.Context, d delivery) error {
		var err error
		inventory, err = h.fleet.hold(deliverCtx, h, order, d)
		return err
	}
	if err := h.send(ctx, faultLateHolds, "hold "+order.Executor, order.Executor, deliver); err != nil {
		return cell.Inventory{}, err
	}
	return inventory, nil
}

func (h *host) start(ctx context.Context, order cell.TaskStart) error {
	what := fmt.Sprintf("start task=%s run=%d for %s", order.Task, order.Run, order.Executor)
	return h.send(ctx, faultLateStarts, what, order.Executor, func(_ context.Context, d delivery) error {
		return h.fleet.start(h, order, d)
	})
}

func (h *host) stop(ctx context.Context, order cell.TaskStop) error {
	what := fmt.Sprintf("stop task=%s run=%d for %s", order.Task, order.Run, order.Executor)
	return h.send(ctx, faultLateStops, what, order.Executor, func(_ context.Context, d delivery) error {
		return h.fleet.stop(h, order, d)
	})
}

// send carries an order over the link, under the link's faults. late is the fault that makes orders of its kind late.
func (h *host) send(
	ctx context.Context, late, what, executor string, deliver func(ctx context.Context, d delivery) error,
) error {
	sender := h.currentAgent()
	origin := sender.knownIncarnation()
	if !h.world.sleep(ctx, orderLatency) {
		return unknownOutcome(ctx)
	}
	if h.faults().refused {
		return errRefused
	}
	outcome := h.faults().outcomeOfOrder(h.world, late)
	if outcome.lateness > 0 {
		h.world.journal.add(h.name, "unanswered: %s ; carried out again after %s, now %t", what, outcome.lateness,
			outcome.now)
		h.world.spawn(func() {
			if h.world.sleep(h.world.ctx, outcome.lateness) {
				err := h.fleet.checkID(h, executor)
				if err == nil {
					err = deliver(h.world.ctx, delivery{
						late:   true,
						origin: origin,
						sender: sender,
					})
				}
				h.world.journal.add(h.name, "late %s : %v", what, err)
			}
		})
	}
	err := error(nil)
	if outcome.now {
		if err = h.fleet.checkID(h, executor); err == nil {
			delivered := make(chan error, 1)
			h.world.spawn(func() {
				delivered <- deliver(h.world.ctx, delivery{
					origin: origin,
					sender: sender,
				})
			})
			select {
			case <-ctx.Done():
				return unknownOutcome(ctx)
			case err = <-delivered:
			}
		}
	}
	if !outcome.answered || h.faults().fromExecutorCut {
		<-ctx.Done()
		return unknownOutcome(ctx)
	}
	h.world.sleep(ctx, orderLatency+outcome.answerDelay)
	if ctx.Err() != nil {
		return unknownOutcome(ctx)
	}
	return err
}

// sendHeartbeat sends a heartbeat or the notice that the executor leaves, and reports whether it was acknowledged.
func (h *host) sendHeartbeat(heartbeat cell.Heartbeat, l *incarnation) bool {
	faults := h.faults()
	delay := faults.heartbeatDelay(h.world, heartbeat.ShuttingDown)
	if delay < 0 {
		return false
	}
	if delay > 0 {
		h.world.journal.add(h.name, "heartbeat %d of %s leaving=%t delayed by %s", heartbeat.Sequence,
			heartbeat.Executor.GetId(), heartbeat.ShuttingDown, delay)
		h.world.spawn(func() {
			if h.world.sleep(h.world.ctx, delay) {
				h.currentAgent().handleHeartbeat(heartbeat, l)
			}
		})
		return false
	}
	return h.currentAgent().handleHeartbeat(heartbeat, l) && !faults.toExecutorCut
}

func (h *host) faults() linkFaults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link
}

func (h *host) changeFaults(change func(faults *linkFaults)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.link)
}

func (h *host) currentAgent() *agentProcess {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.agent
}

func (h *host) setAgent(agent *agentProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.agent = agent
}
