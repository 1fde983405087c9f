package entry

import (
	"context"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// carriesPerRetention restates live records that often before the log drops them, so that outages of three
	// quarters of the retention do no harm.
	carriesPerRetention = 4
	expiryInterval      = time.Second
)

// runCarries restates what must outlive the log's retention: an owner its live jobs, the placer the document and its
// own claim.
func (e *Entry) runCarries(ctx context.Context) error {
	interval := e.config.Retention / carriesPerRetention
	for e.pause(ctx, interval) {
		e.carryOnce(ctx)
	}
	return nil
}

func (e *Entry) carryOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.config.Retention/carriesPerRetention)
	defer cancel()
	ids := make([]string, 0)
	for _, state := range e.jobs.ledger.Live(e.config.ID) {
		ids = append(ids, state.Job.GetId())
	}
	if len(ids) > 0 {
		if _, err := e.jobs.writer.Carry(ctx, ids...); err != nil {
			e.logger.Warn("carry jobs", "error", err)
		}
	}
	if _, placer := e.terms.current(); placer != e.config.ID {
		return
	}
	if err := e.documents.carry(ctx); err != nil {
		e.logger.Warn("carry document", "error", err)
	}
	e.appendClaim(ctx)
}

// runExpiry drops silent agents.
func (e *Entry) runExpiry(ctx context.Context) error {
	for e.pause(ctx, expiryInterval) {
		for _, id := range e.fleet.expire(e.config.Clock.Now()) {
			e.logger.Warn("agent is gone", "agent", id)
		}
		e.jobs.ledger.Expire(e.jobs.follower.Status().First)
	}
	return nil
}

// shutdown waits for the end of the process's context and hands the jobs over. Its return ends the other goroutines.
func (e *Entry) shutdown(leave, run context.Context) error {
	select {
	case <-leave.Done():
	case <-run.Done():
		return nil
	}
	e.Leave()
	e.owner.drain(run)
	e.handOver(run)
	return nil
}

// handOver gives the jobs that still run to another entry by records. With the log unavailable they stay in the log
// under this entry's name, and another entry adopts them once the log is back.
func (e *Entry) handOver(ctx context.Context) {
	now := e.config.Clock.Now()
	successor := ""
	for _, id := range e.terms.order(e.aliveEntries(now)) {
		if id != e.config.ID {
			successor = id
			break
		}
	}
	if successor == "" {
		return
	}
	var records []*peerpb.Record
	for _, state := range e.jobs.ledger.Live(e.config.ID) {
		records = append(records, adoptRecord(state.Job.GetId(), state.Generation, successor))
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	e.logger.Info("hand jobs over", "count", len(records), "entry", successor)
	if _, err := e.jobs.writer.Submit(ctx, records...); err != nil {
		e.logger.Warn("hand jobs over", "error", err)
	}
}
