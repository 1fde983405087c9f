package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// serveTimeout bounds one call; a request that takes longer is asked for with Query.
	serveTimeout = 10 * time.Second
	// stalledAfter is three announcements; a backend server that is only slow has an agent that goes on announcing.
	stalledAfter = 1500 * time.Millisecond
	stalledPoll  = 100 * time.Millisecond
	queryTimeout = time.Second
	queryRetry   = 200 * time.Millisecond
	callTimeout  = time.Second
)

// served is what came of sending a request to one agent.
type served struct {
	// refused says that the request was not run there.
	refused bool
	// lost says that nobody can tell any more whether it ran.
	lost   bool
	failed bool
	reason string
	answer *peerpb.Answer
}

// runRequest sends a request to one backend server after another until one ran it.
func (r *runner) runRequest(ctx context.Context) {
	if r.adopted && r.started && !r.job.GetIdempotent() {
		r.recoverRequest(ctx)
		return
	}
	for ctx.Err() == nil {
		if r.endUnstarted(ctx) {
			return
		}
		target, ok := r.pick()
		if !ok {
			r.sleep(ctx)
			continue
		}
		if !r.start(ctx, []string{target.id}) {
			if r.isSuperseded() {
				return
			}
			r.sleep(ctx)
			continue
		}
		r.count++
		r.setState(stateRunning)
		result := r.serve(ctx, target)
		r.ran = r.ran || !result.refused
		r.observe(target, result)
		if r.settleServed(ctx, target, result) {
			return
		}
		if !result.refused && !result.lost {
			r.tries = 0
		}
	}
}

// endUnstarted ends a job that is cancelled or late and does not run now.
func (r *runner) endUnstarted(ctx context.Context) bool {
	switch {
	case r.isCancelled() && r.ran:
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_CANCELLED,
			Reasons: []string{"cancelled by the caller; it may have run"},
		})
	case r.isLate() && r.ran && isRequest(r.job):
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_LOST,
			Reasons: append([]string{"not answered before its deadline; it may have run"}, r.failureReasons()...),
		})
	case r.isLate() && r.ran:
		// A gang job that started in time goes on after an eviction.
		return false
	case r.isCancelled():
		r.refuse(ctx, peerpb.Outcome_OUTCOME_CANCELLED, "cancelled by the caller before it ran")
	case r.isLate():
		_, reasons := r.shown()
		r.refuse(ctx, peerpb.Outcome_OUTCOME_REFUSED,
			append([]string{"not started before its deadline"}, reasons...)...)
	default:
		return false
	}
	return true
}

// isSuperseded says whether the job ended or belongs to another entry.
func (r *runner) isSuperseded() bool {
	state, ok := r.entry.jobs.state(r.job.GetId())
	return ok && (state.End != nil || state.Generation != r.generation)
}

// serve calls the agent and finds out what came of it.
func (r *runner) serve(ctx context.Context, target agentView) served {
	call, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if r.job.GetIdempotent() {
		watched := r.abandonSilent(call, cancel, target.id)
		defer func() { <-watched }()
		defer cancel()
	}
	reply, err := r.entry.config.Pool.Call(call, target.address, &peerpb.Request{
		Kind: &peerpb.Request_Serve{
			Serve: &peerpb.Serve{
				Job:     r.job,
				Attempt: r.attempt(),
				Large:   r.large,
			},
		},
	})
	if errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrRemote) {
		return served{
			refused: true,
			reason:  err.Error(),
		}
	}
	if err != nil && r.job.GetIdempotent() && !errors.Is(err, context.DeadlineExceeded) {
		return served{
			lost:   true,
			reason: err.Error(),
		}
	}
	if err != nil {
		return r.query(ctx, target, r.attempt())
	}
	return r.readServed(target.id, reply.GetServe())
}

// abandonSilent ends a call when its agent is silent for stalledAfter, so that an idempotent request is served
// elsewhere instead of waiting for an instance that is paused or cut off. The returned channel is closed when it has
// stopped.
func (r *runner) abandonSilent(ctx context.Context, cancel context.CancelFunc, agent string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r.entry.pause(ctx, stalledPoll) {
			view, ok := r.entry.fleet.get(agent)
			if !ok || r.entry.config.Clock.Since(view.heard) > stalledAfter {
				cancel()
				return
			}
		}
	}()
	return done
}

// readServed checks the answer's checksum, length and attempt.
func (r *runner) readServed(agent string, reply *peerpb.ServeReply) served {
	if reply.GetRefused() {
		return served{
			refused: true,
			reason:  reply.GetReason(),
		}
	}
	if err := checkAnswer(r.job.GetId(), reply.GetAnswer()); err != nil && !reply.GetFailed() {
		r.entry.logger.Warn("drop answer", "job", r.job.GetId(), "agent", agent, "error", err)
		return served{
			lost:   true,
			reason: err.Error(),
		}
	}
	return served{
		failed: reply.GetFailed(),
		reason: reply.GetReason(),
		answer: reply.GetAnswer(),
	}
}

// query asks an agent what became of a request until it tells or is gone. Once an agent has said that it does not know
// an attempt, it refuses that attempt, so a call that is still on its way cannot run later. An agent that restarted
// in between cannot say so: its backend server may have restarted too. A restart shows only in the announcements, so
// the answer counts after the agent has announced the same boot again.
func (r *runner) query(ctx context.Context, target agentView, attempt *peerpb.Attempt) served {
	// denied is when the agent first said that it does not know the attempt.
	var denied time.Time
	for ctx.Err() == nil {
		view, known := r.entry.fleet.get(target.id)
		switch {
		case !known:
			return served{
				lost:   true,
				reason: fmt.Sprintf("agent %s is gone; the request may have run", target.id),
			}
		case !denied.IsZero() && view.boot != target.boot:
			return served{
				lost:   true,
				reason: fmt.Sprintf("agent %s restarted; the request may have run", target.id),
			}
		case !denied.IsZero() && view.heard.After(denied):
			return served{
				refused: true,
				reason:  fmt.Sprintf("agent %s never got the request", target.id),
			}
		}
		reply, err := r.entry.query(ctx, view.address, r.job.GetId(), attempt)
		switch {
		case err != nil && r.job.GetIdempotent() && r.entry.config.Clock.Since(view.heard) > stalledAfter:
			return served{
				lost:   true,
				reason: fmt.Sprintf("agent %s is silent", target.id),
			}
		case err != nil:
		case !reply.GetKnown() && denied.IsZero():
			denied = r.entry.config.Clock.Now()
		case !reply.GetKnown():
		case !reply.GetRunning():
			return r.readServed(target.id, reply.GetResult())
		}
		r.entry.pause(ctx, queryRetry)
	}
	return served{
		lost:   true,
		reason: "the entry stopped",
	}
}

// settleServed ends the job or says that another try is due.
func (r *runner) settleServed(ctx context.Context, target agentView, result served) bool {
	switch {
	case ctx.Err() != nil:
		return true
	case result.refused:
		r.setState(stateQueued, result.reason)
		r.sleep(ctx)
		return false
	case result.lost && r.job.GetIdempotent():
		r.setState(stateQueued, result.reason)
		r.sleep(ctx)
		return false
	case result.lost:
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_LOST,
			Reasons: []string{result.reason},
		})
	case result.failed && r.job.GetIdempotent() && !r.fail(target.id, result.reason) && r.entry.mayRetry(r.job):
		r.entry.acknowledge(ctx, target.address, r.job.GetId(), r.attempt(), 0)
		return false
	case result.failed:
		r.fail(target.id, result.reason)
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_FAILED,
			Reasons: r.failureReasons(),
		})
		r.entry.acknowledge(ctx, target.address, r.job.GetId(), r.attempt(), 0)
	default:
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_DONE,
			Answer:  result.answer,
		})
		r.entry.acknowledge(ctx, target.address, r.job.GetId(), r.attempt(), 0)
	}
	return true
}

// recoverRequest finds a non-idempotent request that another entry had started. It never runs it again.
func (r *runner) recoverRequest(ctx context.Context) {
	r.setState(stateRunning, "looks for the backend server that ran it")
	deadline := r.entry.config.Clock.Now().Add(agentGone)
	for ctx.Err() == nil {
		holder, complete := r.findHolder(ctx)
		if holder.id != "" {
			result := r.query(ctx, holder, nil)
			if !result.refused {
				r.settleServed(ctx, holder, result)
				return
			}
		}
		// An agent that does not answer may hold the request until it is gone.
		if complete && r.entry.config.Clock.Now().After(deadline) {
			r.end(ctx, &peerpb.End{
				Outcome: peerpb.Outcome_OUTCOME_LOST,
				Reasons: []string{"its entry and its backend server are gone; the request may have run"},
			})
			return
		}
		r.entry.pause(ctx, queryRetry)
	}
}

// findHolder asks every announced agent for the request. complete says that all of them answered.
func (r *runner) findHolder(ctx context.Context) (holder agentView, complete bool) {
	complete = true
	for _, view := range r.entry.fleet.list() {
		reply, err := r.entry.query(ctx, view.address, r.job.GetId(), nil)
		if err != nil {
			complete = false
			continue
		}
		if reply.GetKnown() {
			return view, complete
		}
	}
	return agentView{}, complete
}

// checkAnswer says whether an answer is whole and belongs to the job.
func checkAnswer(job string, answer *peerpb.Answer) error {
	switch {
	case answer == nil:
		return errors.New("no answer")
	case answer.GetJob() != job:
		return fmt.Errorf("answer of job %s", answer.GetJob())
	case answer.GetLength() != int64(len(answer.GetBody())):
		return fmt.Errorf("answer has %d of %d bytes", len(answer.GetBody()), answer.GetLength())
	case answer.GetCrc32C() != crc32.Checksum(answer.GetBody(), crc32.MakeTable(crc32.Castagnoli)):
		return errors.New("answer's checksum differs")
	default:
		return nil
	}
}
