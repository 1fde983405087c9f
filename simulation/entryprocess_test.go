package simulation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/gateway"
	"radishpath.example/radishpath/logfollower"
	"radishpath.example/radishpath/mirror"
	"radishpath.example/radishpath/scheduler"
)

// cellPollTimeout is how long an entry's read of the cell's log waits for records.
const cellPollTimeout = time.Second

// entryProcess is one run of an entry's process, as far as it schedules.
type entryProcess struct {
	world       *world
	name        string
	endpoint    *logEndpoint
	peerService *gateway.PeerService
	gate        *gate
	// ctx ends when the process is killed.
	ctx    context.Context
	cancel context.CancelFunc
	// loops counts the loops and timers of the process, handlers the requests that it handles.
	loops    sync.WaitGroup
	handlers sync.WaitGroup
	// mu is held while the process is killed and while a handler begins, so that none begins afterwards.
	mu sync.Mutex
}

func startEntryProcess(w *world, name string) *entryProcess {
	ctx, cancel := context.WithCancel(w.ctx)
	p := &entryProcess{
		world:  w,
		name:   name,
		gate:   newGate(),
		ctx:    ctx,
		cancel: cancel,
	}
	p.endpoint = &logEndpoint{
		world: w,
		name:  name,
		log:   w.log,
		gate:  p.gate,
	}
	logger := newProcessLogger(w.journal, name)
	clock := &gatedClock{
		Clock:   w.clock,
		gate:    p.gate,
		pending: &p.loops,
		stopped: ctx.Done(),
	}
	bootTime := boottime.Clock{
		Now: w.bootTime,
	}
	cellMirror := mirror.New(mirror.Config{
		Logger:      logger,
		BootTime:    bootTime,
		ApplyRecord: w.applyConfig,
	})
	cellMirror.ApplyOperations([]cell.LogRecord{{}}, true)
	follower := logfollower.New(logfollower.Config{
		Name:       "cell",
		Logger:     logger,
		Clock:      clock,
		BootTime:   bootTime,
		Wait:       cellPollTimeout,
		ReadLatest: p.endpoint.readLatest,
		Read:       p.endpoint.read,
		Apply:      cellMirror.ApplyCell,
	})
	entryScheduler := scheduler.New(scheduler.Config{
		Holder:   fmt.Sprintf("%s.%d", name, w.clock.Now().UnixMilli()),
		Cores:    1,
		Address:  name,
		Logger:   logger,
		Clock:    clock,
		BootTime: p.gatedBootTime(),
		Metrics:  tally.NoopScope,
		Mirror:   cellMirror,
		Age:      follower.Age,
		NextOffset: func() int64 {
			return follower.NextOffset()
		},
		AwaitOffset: follower.AwaitOffset,
		HolderStopped: func(ctx context.Context, claim *cellpb.Claim) bool {
			return p.peerService.HolderStopped(ctx, claim)
		},
		Append: p.endpoint.append,
		Dispatch: dispatch.Config{
			LeaseDuration: w.fleet.maxLease,
			MaxLease:      w.fleet.maxLease,
			StopGrace:     w.fleet.stopGrace,
			// Ended jobs stay in the log until they are checked.
			Retention: time.Hour,
		},
	})
	p.peerService = gateway.NewPeerService(gateway.PeerServiceConfig{
		Address:              name,
		Seeds:                w.entryNames(),
		Logger:               logger,
		Clock:                clock,
		BootTime:             bootTime,
		Mirror:               cellMirror,
		StateAge:             follower.Age,
		Report:               entryScheduler.Report,
		Leading:              entryScheduler.Leading,
		NextOperationsOffset: func() int64 { return 0 },
		Append:               p.endpoint.append,
		Call:                 p.call,
	})
	w.journal.add(name, "process starts")
	w.network.setHandler(name, p.handle)
	p.loops.Go(func() { _ = follower.Run(ctx) })
	p.loops.Go(func() { _ = entryScheduler.Run(ctx) })
	p.loops.Go(func() { _ = p.peerService.WatchClaim(ctx) })
	return p
}

// kill ends the process. Appends that it has sent may still be carried out.
func (p *entryProcess) kill() {
	p.world.journal.add(p.name, "process killed")
	p.world.network.setHandler(p.name, nil)
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.gate.thaw()
	// A handler may still start timers, which mustn't meet the wait for them.
	p.handlers.Wait()
	p.loops.Wait()
}

// beginHandler counts a handler, and reports whether the process still handles requests.
func (p *entryProcess) beginHandler() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.handlers.Add(1)
	return true
}

func (p *entryProcess) handle(request *cellpb.Request) *cellpb.Reply {
	if !p.beginHandler() {
		return nil
	}
	defer p.handlers.Done()
	p.gate.wait()
	if p.ctx.Err() != nil {
		return nil
	}
	defer p.gate.wait()
	reply := p.peerService.Handle(p.ctx, request)
	if p.ctx.Err() != nil {
		return nil
	}
	return reply
}

func (p *entryProcess) call(ctx context.Context, address string, request, reply proto.Message) error {
	p.gate.wait()
	defer p.gate.wait()
	return p.world.network.call(ctx, p.name, address, request, reply)
}

// gatedBootTime returns a clock that stops the scheduler while the process is frozen. The scheduler reads it with no
// mutex held.
func (p *entryProcess) gatedBootTime() boottime.Clock {
	return boottime.Clock{
		Now: func() time.Duration {
			p.gate.wait()
			return p.world.bootTime()
		},
	}
}

func (p *entryProcess) freeze(duration time.Duration) {
	p.world.journal.add(p.name, "process frozen for %s", duration)
	p.gate.freeze()
	p.world.sleep(p.world.ctx, duration)
	p.gate.thaw()
	p.world.journal.add(p.name, "process goes on")
}
