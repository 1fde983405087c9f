package agent

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// gate holds the conditions under which the agent starts new work.
type gate struct {
	zone      string
	clock     clockwork.Clock
	documents *documents
	freshness *freshness
	mu        sync.Mutex
	leaving   bool
	// backendLeaving is the backend server's flag as of backendAsked.
	backendLeaving bool
	backendAsked   time.Time
}

// maxBackendAge is how old the backend server's leaving flag may be when a request is started. A backend server that
// is leaving must receive no new work after 5 s.
const maxBackendAge = 3 * time.Second

var (
	errLeaving        = errors.New("the agent is leaving")
	errBackendLeaving = errors.New("the backend server is leaving")
)

// check refuses work when the document, its freshness, the zone or leaving forbid it.
func (g *gate) check() error {
	if g.isLeaving() {
		return errLeaving
	}
	if err := g.checkBackend(false); err != nil {
		return err
	}
	if err := g.documents.check(g.zone); err != nil {
		return err
	}
	return g.freshness.check(g.clock.Now())
}

// checkRequest also refuses when the backend server's leaving flag is not known well enough.
func (g *gate) checkRequest() error {
	if err := g.checkBackend(true); err != nil {
		return err
	}
	return g.check()
}

func (g *gate) checkBackend(recent bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backendLeaving {
		return errBackendLeaving
	}
	if age := g.clock.Since(g.backendAsked); recent && age >= maxBackendAge {
		return fmt.Errorf("the backend server's state was last read more than %s ago", maxBackendAge)
	}
	return nil
}

func (g *gate) isLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// leave refuses all new work from now on.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// setBackend records the backend server's flag as of the time when it was asked.
func (g *gate) setBackend(leaving bool, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backendLeaving = leaving
	g.backendAsked = asked
}

// unavailable reports what the agent announces as leaving.
func (g *gate) unavailable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving || g.backendLeaving
}
