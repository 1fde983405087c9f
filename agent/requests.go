package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxQueueWait bounds the time in the queue of a request without a deadline.
	maxQueueWait = 30 * time.Second
	// backendTimeout bounds one question to the backend server; a request itself has its job's deadline only.
	backendTimeout = time.Second
	// unknownLimit is how long the backend server may fail to name a request whose answer was lost, before the agent
	// gives up. The request may have run.
	unknownLimit = 3 * time.Second
)

var errPastDeadline = errors.New("the deadline has passed")

// requests runs requests on the backend server, each attempt once.
type requests struct {
	clock   clockwork.Clock
	backend BackendPort
	gate    *gate
	fences  *fences
	answers *answers
	slots   *slots
	cleaner *cleaner
	journal *journal
	group   *group
	mu      sync.Mutex
	all     map[key]*call
}

// acknowledge makes the backend server forget a request.
func (r *requests) acknowledge(k key) {
	r.cleaner.add(func(ctx context.Context) error {
		return settled(r.backend.Forget(ctx, k.requestID()), r.backend.Rejected)
	}, func() {})
}

// latest returns the newest attempt up to k's that waits or runs.
func (r *requests) latest(k key) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latestLocked(k)
}

// outstanding returns how many requests wait or run.
func (r *requests) outstanding() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// recover reads the backend server's requests after a start of the agent.
func (r *requests) recover(ctx context.Context) error {
	statuses, err := r.statuses(ctx)
	if err != nil {
		return err
	}
	for _, status := range statuses {
		r.adopt(status)
	}
	return nil
}

// serve runs a request, or joins the one that is known already, and returns nil if ctx ends before the outcome is
// known.
func (r *requests) serve(ctx context.Context, request *peerpb.Serve) *peerpb.ServeReply {
	k := newKey(request.GetJob().GetId(), request.GetAttempt(), 0)
	found, reply := r.admit(k, request)
	if reply != nil {
		return reply
	}
	return found.await(ctx)
}

// adopt takes over a request that the backend server ran before this agent started.
func (r *requests) adopt(status RequestStatus) {
	k := status.key()
	r.fences.close(k)
	r.answers.reserveFound()
	r.journal.write(decisionAdopt, k, "found on the backend server as "+status.State)
	if status.State != StateRunning {
		r.answers.add(requestResult(k, status.Answer))
		return
	}
	found := newCall(k, &peerpb.Job{
		Id: k.job,
	}, false)
	r.mu.Lock()
	r.all[k] = found
	r.mu.Unlock()
	r.slots.occupy(found.large)
	r.group.run(func(ctx context.Context) {
		defer r.slots.release(found.large)
		answer, err := r.ask(ctx, k)
		r.end(ctx, found, answer, err)
	})
}

// admit returns the reply if it is known already, else the call that will have it.
func (r *requests) admit(k key, request *peerpb.Serve) (*call, *peerpb.ServeReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, reply := r.find(k, request.GetJob().GetIdempotent()); found != nil || reply != nil {
		return found, reply
	}
	if err := r.check(k); err != nil {
		r.fences.close(k)
		r.journal.write(decisionRefuse, k, err.Error())
		return nil, refusal(err)
	}
	found := newCall(k, request.GetJob(), request.GetLarge())
	r.all[k] = found
	r.fences.note(k)
	r.group.run(func(ctx context.Context) {
		r.run(ctx, found)
	})
	return found, nil
}

// ask reads the backend server's list until it names the outcome of a request. It is used when the answer was lost:
// running the request again could run it twice.
func (r *requests) ask(ctx context.Context, k key) (Answer, error) {
	retry := newBackoff()
	var unknownSince time.Time
	for {
		statuses, err := r.statuses(ctx)
		status, known := findRequest(statuses, k)
		switch {
		case known && status.State != StateRunning:
			return status.Answer, nil
		case known:
			unknownSince = time.Time{}
			retry.Reset()
		case err != nil:
		case unknownSince.IsZero():
			unknownSince = r.clock.Now()
		case r.clock.Since(unknownSince) >= unknownLimit:
			return Answer{}, errUnknown
		}
		if err = sleep(ctx, r.clock, retry.NextBackOff()); err != nil {
			return Answer{}, err
		}
	}
}

// check refuses requests that need not wait for a slot, because they would be refused then too.
func (r *requests) check(k key) error {
	if err := r.fences.check(k); err != nil {
		return err
	}
	if err := r.gate.checkRequest(); err != nil {
		return err
	}
	return r.answers.check()
}

// end keeps the answer and tells those who wait for it.
func (r *requests) end(ctx context.Context, ended *call, answer Answer, err error) {
	if ctx.Err() != nil && err != nil {
		return
	}
	outcome := requestResult(ended.key, answer)
	if err != nil {
		outcome.lost = true
		outcome.reason = fmt.Sprintf("it may have run: the backend server does not know its outcome: %s", err)
	}
	r.fences.close(ended.key)
	r.journal.write(decisionEnd, ended.key, outcome.reason)
	r.answers.add(outcome)
	r.drop(ended)
	ended.finish(outcome.serveReply())
}

func (r *requests) drop(ended *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, ended.key)
}

// find returns what is known of the attempt. A request that must run at most once is also found under an older
// attempt, because that one may have run.
func (r *requests) find(k key, idempotent bool) (*call, *peerpb.ServeReply) {
	if found, ok := r.all[k]; ok {
		return found, nil
	}
	if known, ok := r.answers.get(k); ok {
		return nil, known.serveReply()
	}
	if r.fences.hasRun(k) || !idempotent && r.fences.hasRunBefore(k) {
		return nil, &peerpb.ServeReply{
			Failed: true,
			Reason: "the request has run and its answer was acknowledged",
		}
	}
	if idempotent {
		return nil, nil
	}
	if known, ok := r.answers.latest(k); ok {
		return nil, known.serveReply()
	}
	return r.latestLocked(k), nil
}

func (r *requests) latestLocked(k key) *call {
	var best *call
	for other, found := range r.all {
		if k.covers(other) && (best == nil || best.key.attempt.compare(other.attempt) < 0) {
			best = found
		}
	}
	return best
}

// refuse ends a call that was not run.
func (r *requests) refuse(ctx context.Context, refused *call, err error) {
	if ctx.Err() != nil {
		return
	}
	r.fences.close(refused.key)
	r.journal.write(decisionRefuse, refused.key, err.Error())
	r.drop(refused)
	refused.finish(refusal(err))
}

func (r *requests) run(ctx context.Context, admitted *call) {
	if err := r.waitForSlot(ctx, admitted); err != nil {
		r.refuse(ctx, admitted, err)
		return
	}
	defer r.slots.release(admitted.large)
	if err := r.gate.checkRequest(); err != nil {
		r.refuse(ctx, admitted, err)
		return
	}
	if err := r.answers.reserve(); err != nil {
		r.refuse(ctx, admitted, err)
		return
	}
	r.journal.write(decisionServe, admitted.key, fmt.Sprintf("large %t", admitted.large))
	answer, err := r.send(ctx, admitted)
	if errors.Is(err, r.backend.Rejected) {
		r.answers.cancel()
		r.refuse(ctx, admitted, err)
		return
	}
	if err != nil {
		r.journal.logger.Warn("the backend server's answer was lost", "request", admitted.key.requestID(), "error", err)
		answer, err = r.ask(ctx, admitted.key)
	}
	r.end(ctx, admitted, answer, err)
}

// send runs the request once.
func (r *requests) send(ctx context.Context, admitted *call) (Answer, error) {
	if deadline := admitted.job.GetDeadline(); deadline != nil {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithDeadline(ctx, r.clock, deadline.AsTime())
		defer cancel()
	}
	return r.backend.Serve(ctx, Request{
		ID:         admitted.key.requestID(),
		Job:        admitted.key.job,
		Generation: admitted.key.attempt.generation,
		Count:      admitted.key.attempt.count,
		Payload:    admitted.job.GetPayload(),
	})
}

func (r *requests) statuses(ctx context.Context) ([]RequestStatus, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, backendTimeout)
	defer cancel()
	statuses, err := r.backend.Requests(ctx)
	if err != nil {
		return nil, fmt.Errorf("list the backend server's requests: %w", err)
	}
	return statuses, nil
}

func (r *requests) waitForSlot(ctx context.Context, admitted *call) error {
	limit := r.clock.Now().Add(maxQueueWait)
	if deadline := admitted.job.GetDeadline(); deadline != nil && deadline.AsTime().Before(limit) {
		limit = deadline.AsTime()
	}
	if !r.clock.Now().Before(limit) {
		return errPastDeadline
	}
	ctx, cancel := clockwork.WithDeadline(ctx, r.clock, limit)
	defer cancel()
	return r.slots.acquire(ctx, admitted.large)
}

func findRequest(statuses []RequestStatus, k key) (RequestStatus, bool) {
	for _, status := range statuses {
		if status.key() == k {
			return status, true
		}
	}
	return RequestStatus{}, false
}

func requestResult(k key, answer Answer) result {
	outcome := newResult(k, answer.Body)
	outcome.request = true
	if answer.Failed {
		outcome.failed = true
	}
	if outcome.reason == "" {
		outcome.reason = answer.Reason
	}
	return outcome
}

func (s RequestStatus) key() key {
	return key{
		job: s.Job,
		attempt: attempt{
			generation: s.Generation,
			count:      s.Count,
		},
	}
}

// settled takes a rejected removal for a done one: there is nothing to remove.
func settled(err, rejected error) error {
	if errors.Is(err, rejected) {
		return nil
	}
	return err
}
