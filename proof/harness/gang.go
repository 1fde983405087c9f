package harness

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/standin/workerserver"
)

// attempt is one try of a gang job.
type attempt struct {
	job        string
	generation int64
	count      int32
}

// gang follows the members of one attempt.
type gang struct {
	members int32
	limit   time.Duration
	running map[int32]bool
	done    map[int32]bool
	// partial is since when some members run and others neither run nor are done; zero if that is not so.
	partial time.Time
}

func newGang(members int32, limit time.Duration) *gang {
	return &gang{
		members: members,
		limit:   limit,
		running: map[int32]bool{},
		done:    map[int32]bool{},
	}
}

// apply counts an event and returns an error if the gang was partial for too long until then, or runs a member twice.
func (g *gang) apply(event workerserver.Event) error {
	if starts(event) && g.running[event.Member] {
		return violation(event, "the member already runs")
	}
	if starts(event) {
		g.running[event.Member] = true
		delete(g.done, event.Member)
	} else {
		delete(g.running, event.Member)
	}
	if completes(event) {
		g.done[event.Member] = true
	}
	partial := len(g.running) > 0 && len(g.running)+len(g.done) < int(g.members)
	if partial && g.partial.IsZero() {
		g.partial = event.Time
	}
	if partial {
		return nil
	}
	err := g.check(event.Time)
	g.partial = time.Time{}
	if err != nil {
		return violation(event, err.Error())
	}
	return nil
}

// check returns an error if the gang has been partial for too long.
func (g *gang) check(now time.Time) error {
	if g.partial.IsZero() || now.Sub(g.partial) <= g.limit {
		return nil
	}
	return fmt.Errorf("ran without all of its %d members for %s", g.members, now.Sub(g.partial))
}
