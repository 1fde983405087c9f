package entry

import (
	"context"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	successionInterval = 100 * time.Millisecond
	// claimGrace gives the heartbeats of a newcomer time to tell it who the placer is.
	claimGrace = time.Second
)

// observeTerm follows a higher term.
func (e *Entry) observeTerm(term *peerpb.Term, placer string) {
	if !e.terms.observe(term, placer) {
		return
	}
	e.logger.Info("follow placer", "placer", placer, "offset", term.GetOffset(), "successor", term.GetSuccessor())
	e.termChanges.notify()
}

// runSuccession replaces a silent placer.
func (e *Entry) runSuccession(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.config.Clock.After(jitter(successionInterval)):
		}
		if e.isNextPlacer() {
			e.takeOver(ctx)
		}
	}
}

// isNextPlacer says whether this entry is the first one alive that should replace the placer.
func (e *Entry) isNextPlacer() bool {
	now := e.config.Clock.Now()
	if e.isLeaving() || now.Sub(e.started) < claimGrace {
		return false
	}
	_, placer := e.terms.current()
	if placer == e.config.ID {
		return false
	}
	_, known := e.members.address(placer)
	if known && !e.members.isLeaving(placer) && e.members.isAlive(placer, now, placerSilence) {
		return false
	}
	order := e.terms.order(e.aliveEntries(now))
	return len(order) > 0 && order[0] == e.config.ID
}

// aliveEntries returns the ids of the entries heard lately that are not leaving, this one included.
func (e *Entry) aliveEntries(now time.Time) []string {
	alive := []string{e.config.ID}
	for _, known := range e.members.list() {
		if !known.leaving && e.members.isAlive(known.info.GetId(), now, placerSilence) {
			alive = append(alive, known.info.GetId())
		}
	}
	return alive
}

// takeOver claims the term through the log, or by the claim's order while the log is unavailable.
func (e *Entry) takeOver(ctx context.Context) {
	if e.jobs.isReadable() {
		e.appendClaim(ctx)
		return
	}
	term, ok := e.terms.succeed(e.config.ID)
	if !ok {
		e.logger.Warn("cannot replace the placer: log unavailable and no claim known")
		return
	}
	e.observeTerm(term, e.config.ID)
}

// appendClaim appends a claim that names all other known entries as successors.
func (e *Entry) appendClaim(ctx context.Context) {
	claim := &peerpb.Claim{
		Placer: e.config.ID,
	}
	for _, known := range e.members.list() {
		claim.Successors = append(claim.Successors, known.info.GetId())
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := e.jobs.append(ctx, &peerpb.Record{
		Kind: &peerpb.Record_Claim{
			Claim: claim,
		},
	})
	if err != nil {
		e.logger.Warn("claim placement", "error", err)
	}
}
