package entry

import (
	"context"
	"errors"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// shareAfter is how long an end waits for the log before it is shared with other entries and shown to the caller.
	shareAfter = 1500 * time.Millisecond
	endRetry   = 200 * time.Millisecond
)

// finish records a job's end. While the log does not take it, the end of an idempotent job is shared with the other
// entries, so that the caller gets its answer and no adopter runs the job again.
func (e *Entry) finish(ctx context.Context, job *peerpb.Job, end *peerpb.End) {
	e.recordEnd(job, end)
	shared := false
	for ctx.Err() == nil {
		err := e.appendEnd(ctx, end)
		if err == nil || errors.Is(err, errVoid) {
			e.settleVoidEnd(ctx, job, end, err)
			return
		}
		e.logger.Warn("record end", "job", job.GetId(), "error", err)
		if !shared && !end.GetNeverStarted() && e.shareEnd(ctx, job, end) {
			shared = true
			e.jobs.changes.notify(job.GetId())
		}
		e.pause(ctx, endRetry)
	}
}

func (e *Entry) appendEnd(ctx context.Context, end *peerpb.End) error {
	ctx, cancel := context.WithTimeout(ctx, shareAfter)
	defer cancel()
	return e.jobs.append(ctx, &peerpb.Record{
		Kind: &peerpb.Record_End{
			End: end,
		},
	})
}

// settleVoidEnd replaces a claim that nothing ran, which had no effect because a start record came first.
func (e *Entry) settleVoidEnd(ctx context.Context, job *peerpb.Job, end *peerpb.End, err error) {
	state, ok := e.jobs.state(job.GetId())
	if err == nil || !end.GetNeverStarted() || !ok || !state.Live() || state.Generation != end.GetGeneration() {
		return
	}
	e.finish(ctx, job, &peerpb.End{
		Job:        job.GetId(),
		Generation: end.GetGeneration(),
		Outcome:    peerpb.Outcome_OUTCOME_LOST,
		Reasons:    append([]string{"a start was recorded; it may have run"}, end.GetReasons()...),
	})
}

// finishDirect ends a request that has no record; the other entries learn the end, so that the same id gets the same
// answer everywhere.
func (e *Entry) finishDirect(ctx context.Context, job *peerpb.Job, end *peerpb.End) {
	e.recordEnd(job, end)
	if !e.shareEnd(ctx, job, end) {
		e.logger.Warn("no other entry took the end", "job", job.GetId())
	}
	e.jobs.changes.notify(job.GetId())
}

// recordEnd writes the end to the decision trace and the metrics.
func (e *Entry) recordEnd(job *peerpb.Job, end *peerpb.End) {
	e.trace.write(decision{
		Kind:       "end",
		Job:        job.GetId(),
		Workspace:  job.GetWorkspace(),
		Generation: end.GetGeneration(),
		Outcome:    stateOf(end.GetOutcome()),
		Reasons:    end.GetReasons(),
	})
	e.config.Metrics.Tagged(map[string]string{
		"outcome": stateOf(end.GetOutcome()),
	}).Counter("jobs_ended").Inc(1)
}
