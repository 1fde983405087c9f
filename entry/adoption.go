package entry

import (
	"context"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	adoptionInterval = 300 * time.Millisecond
	// adoptionBatch bounds the records of one append.
	adoptionBatch = 500
)

// runAdoption takes over the jobs of entries that are gone.
func (e *Entry) runAdoption(ctx context.Context) error {
	for e.pause(ctx, adoptionInterval) {
		if e.isLeaving() || !e.jobs.isReadable() {
			continue
		}
		e.adoptOrphans(ctx)
	}
	return nil
}

// adoptOrphans adopts the live jobs whose owner was silent for ownerSilence, if this entry is the first one alive.
func (e *Entry) adoptOrphans(ctx context.Context) {
	now := e.config.Clock.Now()
	alive := e.terms.order(e.aliveEntries(now))
	if len(alive) == 0 || alive[0] != e.config.ID || now.Sub(e.started) < ownerSilence {
		return
	}
	var records []*peerpb.Record
	for _, state := range e.jobs.ledger.Live("") {
		if state.Owner == e.config.ID || !e.isGone(state.Owner, now) {
			continue
		}
		records = append(records, adoptRecord(state.Job.GetId(), state.Generation, e.config.ID))
		if len(records) == adoptionBatch {
			break
		}
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	e.logger.Info("adopt jobs", "count", len(records))
	if _, err := e.jobs.writer.Submit(ctx, records...); err != nil {
		e.logger.Warn("adopt jobs", "error", err)
	}
}

// isGone says whether an entry left or was silent for ownerSilence.
func (e *Entry) isGone(id string, now time.Time) bool {
	if _, known := e.members.address(id); !known {
		return true
	}
	return !e.members.isAlive(id, now, ownerSilence)
}

func adoptRecord(job string, generation int64, owner string) *peerpb.Record {
	return &peerpb.Record{
		Kind: &peerpb.Record_Adopt{
			Adopt: &peerpb.Adopt{
				Job:        job,
				Generation: generation,
				Owner:      owner,
			},
		},
	}
}
