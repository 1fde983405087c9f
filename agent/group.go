package agent

import (
	"context"
	"errors"
	"sync"
)

// errUnknown marks an outcome that the agent could not find out before it stopped.
var errUnknown = errors.New("outcome unknown")

// group runs the agent's goroutines under one context and waits for them.
type group struct {
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
}

func newGroup(ctx context.Context) *group {
	ctx, stop := context.WithCancel(ctx)
	return &group{
		ctx:  ctx,
		stop: stop,
	}
}

// close ends the context and waits for all goroutines.
func (g *group) close() {
	g.stop()
	g.wait.Wait()
}

func (g *group) run(f func(ctx context.Context)) {
	g.wait.Go(func() { f(g.ctx) })
}
