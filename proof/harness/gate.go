package harness

import "sync"

// gate lets bytes of one direction pass, or holds them.
type gate struct {
	mu sync.Mutex
	// open is closed while bytes may pass.
	open chan struct{}
	cut  bool
}

func newGate() *gate {
	g := &gate{
		open: make(chan struct{}),
	}
	close(g.open)
	return g
}

// hold stops the bytes.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cut {
		g.cut = true
		g.open = make(chan struct{})
	}
}

// release lets the bytes pass, those held first.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		g.cut = false
		close(g.open)
	}
}

// wait returns true when bytes may pass and false when done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-done:
		return false
	}
}
