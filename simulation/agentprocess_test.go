package simulation

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/agent"
	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// agentProcess is one run of an agent's process.
type agentProcess struct {
	world      *world
	host       *host
	name       string
	controller *agent.Controller
	gate       *gate
	// ctx ends when the process is killed.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	timers sync.WaitGroup
	mu     sync.Mutex
	// known is the newest incarnation from which a heartbeat has arrived.
	known *incarnation
}

func agentName(host string) string {
	return "agent-" + host
}

// startAgentProcess starts the agent of a host.
func startAgentProcess(w *world, h *host) {
	ctx, cancel := context.WithCancel(w.ctx)
	p := &agentProcess{
		world:  w,
		host:   h,
		name:   agentName(h.name),
		gate:   newGate(),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	p.controller = agent.New(agent.Config{
		ID:            p.name,
		Address:       p.name,
		Process:       w.clock.Now().UnixMilli(),
		SeedAddresses: w.entryNames(),
		Logger:        newProcessLogger(w.journal, p.name),
		Clock: &gatedClock{
			Clock:   w.clock,
			gate:    p.gate,
			pending: &p.timers,
			stopped: ctx.Done(),
		},
		BootTime: boottime.Clock{
			Now: w.bootTime,
		},
		Executor: agent.ExecutorClient{
			Hold:  p.hold,
			Start: p.start,
			Stop:  p.stop,
		},
		Call:         p.call,
		CloseSession: func(string) {},
	})
	w.journal.add(p.name, "process starts")
	w.network.setHandler(p.name, p.handle)
	h.setAgent(p)
	w.spawn(func() {
		defer close(p.done)
		_ = p.controller.Run(ctx)
	})
}

// kill ends the process. Requests that it has sent may still be carried out.
func (p *agentProcess) kill() {
	p.world.journal.add(p.name, "process killed")
	p.world.network.setHandler(p.name, nil)
	p.cancel()
	p.gate.thaw()
	<-p.done
	p.timers.Wait()
}

// handleHeartbeat passes a heartbeat to the process and reports whether it was acknowledged.
func (p *agentProcess) handleHeartbeat(heartbeat cell.Heartbeat, l *incarnation) bool {
	p.gate.wait()
	if p.ctx.Err() != nil {
		return false
	}
	p.mu.Lock()
	if !heartbeat.ShuttingDown && (p.known == nil || p.known.born < l.born) {
		p.known = l
	}
	p.mu.Unlock()
	return p.controller.HandleHeartbeat(heartbeat)
}

func (p *agentProcess) handle(request *cellpb.Request) *cellpb.Reply {
	p.gate.wait()
	if p.ctx.Err() != nil {
		return nil
	}
	defer p.gate.wait()
	return p.controller.ForwardReport(p.ctx, request)
}

func (p *agentProcess) hold(ctx context.Context, order cell.HoldRequest) (cell.Inventory, error) {
	if err := p.beginCall(ctx); err != nil {
		return cell.Inventory{}, err
	}
	defer p.gate.wait()
	return p.host.hold(ctx, order)
}

func (p *agentProcess) start(ctx context.Context, order cell.TaskStart) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	defer p.gate.wait()
	return p.host.start(ctx, order)
}

func (p *agentProcess) stop(ctx context.Context, order cell.TaskStop) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	defer p.gate.wait()
	return p.host.stop(ctx, order)
}

func (p *agentProcess) call(ctx context.Context, address string, request, reply proto.Message) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	defer p.gate.wait()
	return p.world.network.call(ctx, p.name, address, request, reply)
}

// beginCall waits while the process is frozen. A process that was killed sends nothing.
func (p *agentProcess) beginCall(ctx context.Context) error {
	p.gate.wait()
	if p.ctx.Err() != nil {
		return unknownOutcome(p.ctx)
	}
	if ctx.Err() != nil {
		return unknownOutcome(ctx)
	}
	return nil
}

func (p *agentProcess) knownIncarnation() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *agentProcess) freeze(duration time.Duration) {
	p.world.journal.add(p.name, "process frozen for %s", duration)
	p.gate.freeze()
	p.world.sleep(p.world.ctx, duration)
	p.gate.thaw()
	p.world.journal.add(p.name, "process goes on")
}
