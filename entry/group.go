package entry

import (
	"context"
	"fmt"
)

// group runs goroutines and collects their ends.
type group struct {
	ends    chan error
	started int
}

func newGroup() *group {
	return &group{
		ends: make(chan error),
	}
}

// spawn runs a function; its end is read by wait.
func (g *group) spawn(ctx context.Context, name string, run func(ctx context.Context) error) {
	g.started++
	go func() {
		err := run(ctx)
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
		g.ends <- err
	}()
}

// wait reads every end and returns the first error. It calls stop as soon as one goroutine has ended.
func (g *group) wait(stop context.CancelFunc) error {
	var first error
	for range g.started {
		err := <-g.ends
		stop()
		if first == nil {
			first = err
		}
	}
	return first
}
