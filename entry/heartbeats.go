package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	heartbeatTimeout  = 600 * time.Millisecond
	pruneInterval     = time.Second
)

// heartbeat describes this entry to another one that has the given revision of the document.
func (e *Entry) heartbeat(theirs int64) *peerpb.Heartbeat {
	term, placer := e.terms.current()
	read := e.documents.lastRead()
	age := e.config.Clock.Since(read)
	revision, text := e.documents.current()
	beat := &peerpb.Heartbeat{
		Sender:   e.info(),
		Revision: revision,
		Reads:    age <= readsLimit,
		ReadAge:  durationpb.New(age),
		Term:     term,
		Placer:   placer,
		Leaving:  e.isLeaving(),
	}
	beat.Known = e.members.heard()
	if theirs < revision {
		beat.Document = &peerpb.Document{
			Revision: revision,
			Text:     text,
		}
	}
	return beat
}

// runHeartbeats calls every known entry each heartbeatInterval, at most one call at a time to each.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	var busy sync.Map
	var calls sync.WaitGroup
	defer calls.Wait()
	pruned := e.config.Clock.Now()
	for {
		for _, known := range e.members.list() {
			if _, loaded := busy.LoadOrStore(known.info.GetId(), true); loaded {
				continue
			}
			calls.Go(func() {
				defer busy.Delete(known.info.GetId())
				e.beat(ctx, known)
			})
		}
		if e.config.Clock.Since(pruned) > pruneInterval {
			pruned = e.config.Clock.Now()
			e.members.prune(pruned, e.documents.isReadable())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.config.Clock.After(jitter(heartbeatInterval)):
		}
	}
}

// beat exchanges one heartbeat.
func (e *Entry) beat(ctx context.Context, known member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	asked := e.config.Clock.Now()
	reply, err := e.config.Pool.Call(ctx, known.info.GetAddress(), &peerpb.Request{
		Kind: &peerpb.Request_Heartbeat{
			Heartbeat: e.heartbeat(known.reply.GetRevision()),
		},
	})
	if err != nil {
		return
	}
	beat := reply.GetHeartbeat().GetBeat()
	if beat.GetSender().GetId() != known.info.GetId() {
		// Another instance listens on the address of one that was replaced.
		e.members.replace(known.info.GetId(), beat.GetSender(), e.config.Clock.Now())
		return
	}
	e.absorb(beat, asked)
}

// absorb takes over what another entry knows better.
func (e *Entry) absorb(beat *peerpb.Heartbeat, asked time.Time) {
	if offered := beat.GetDocument(); offered != nil {
		e.documents.offer(offered)
	}
	e.observeTerm(beat.GetTerm(), beat.GetPlacer())
	for _, info := range beat.GetKnown() {
		e.members.learnNamed(info)
	}
	e.members.observe(beat, asked, e.config.Clock.Now())
}

// jitter spreads periodic work by a tenth to either side.
func jitter(d time.Duration) time.Duration {
	const spread = 0.1
	return time.Duration(float64(d) * (1 - spread + 2*spread*rand.Float64()))
}
