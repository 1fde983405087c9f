package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/jobstream"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// acceptTimeout is how long a submission waits for its accept record; afterwards its outcome is unknown.
	acceptTimeout = 5 * time.Second
	// directTimeout is how long an idempotent request waits for the log before it is served without a record.
	directTimeout = 500 * time.Millisecond
	// lookupWait bounds what another entry is asked to wait for a caller.
	lookupWait = 20 * time.Second
)

// Submit accepts a job and waits for its end, at most as long as wait says.
func (e *Entry) Submit(ctx context.Context, job *peerpb.Job, wait time.Duration) (caller.Status, error) {
	if found := e.localStatus(job.GetId()); found.known {
		return e.Lookup(ctx, job.GetWorkspace(), job.GetId(), wait)
	}
	if e.owner.isDraining() {
		return caller.Status{}, fmt.Errorf("%w: %w", caller.ErrNotAccepted, errLeaving)
	}
	if err := e.admit(job); errors.Is(err, errNoWorkspace) {
		return caller.Status{}, fmt.Errorf("%w: %w", caller.ErrNotAccepted, err)
	} else if err != nil {
		return caller.Status{}, fmt.Errorf("%w: %w", caller.ErrLimit, err)
	}
	job.Accepted = timestamppb.New(e.config.Clock.Now())
	err := e.accept(ctx, job)
	switch {
	case err == nil, errors.Is(err, errVoid):
		return e.Lookup(ctx, job.GetWorkspace(), job.GetId(), wait)
	case job.GetIdempotent() && isRequest(job):
		return e.serveDirect(ctx, job, wait)
	case errors.Is(err, jobstream.ErrNotAppended):
		return caller.Status{}, fmt.Errorf("%w: %w", caller.ErrNotAccepted, err)
	default:
		return callerStatus(job.GetId(), status{
			known:     true,
			state:     stateUnknown,
			workspace: job.GetWorkspace(),
			reasons:   []string{"the platform's log did not answer; ask again by id"},
		}), nil
	}
}

// accept appends the accept record. An idempotent request does not wait long for a log that is unavailable.
func (e *Entry) accept(ctx context.Context, job *peerpb.Job) error {
	timeout := acceptTimeout
	if job.GetIdempotent() && isRequest(job) {
		timeout = appendTimeout
	}
	if job.GetIdempotent() && isRequest(job) && !e.jobs.isReadable() {
		timeout = directTimeout
	}
	if job.GetDeadline() != nil {
		timeout = min(timeout, max(job.GetDeadline().AsTime().Sub(e.config.Clock.Now()), directTimeout))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.trace.write(decision{
		Kind:      "accept",
		Job:       job.GetId(),
		Workspace: job.GetWorkspace(),
	})
	return e.jobs.append(ctx, &peerpb.Record{
		Kind: &peerpb.Record_Accept{
			Accept: &peerpb.Accept{
				Job:   job,
				Owner: e.config.ID,
			},
		},
	})
}

// serveDirect serves an idempotent request without records while the log is unavailable.
func (e *Entry) serveDirect(ctx context.Context, job *peerpb.Job, wait time.Duration) (caller.Status, error) {
	if found := e.remoteStatus(ctx, job.GetId(), 0); found.known {
		return e.Lookup(ctx, job.GetWorkspace(), job.GetId(), wait)
	}
	e.owner.startDirect(job)
	return e.Lookup(ctx, job.GetWorkspace(), job.GetId(), wait)
}

// Lookup returns a job's state to its workspace, after waiting for its end at most as long as wait says.
func (e *Entry) Lookup(ctx context.Context, workspace, id string, wait time.Duration) (caller.Status, error) {
	asked := e.config.Clock.Now()
	for {
		left := max(wait-e.config.Clock.Since(asked), 0)
		found := e.lookupOnce(ctx, id, min(left, lookupWait))
		if found.known && found.workspace != workspace {
			return caller.Status{}, caller.ErrNotFound
		}
		if found.known && (found.end != nil || left <= lookupWait || isEnded(ctx) || e.isLeaving()) {
			return callerStatus(id, found), nil
		}
		if !found.known {
			return e.missing(ctx, asked, id)
		}
	}
}

// isEnded says whether nobody waits for the result any more.
func isEnded(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// lookupOnce asks this entry first and the job's owner if it is another one.
func (e *Entry) lookupOnce(ctx context.Context, id string, wait time.Duration) status {
	found := e.localStatus(id)
	if found.end != nil {
		return found
	}
	if _, owned := e.owner.get(id); owned || e.isOwned(id) {
		return e.awaitStatus(ctx, id, wait)
	}
	if !found.known {
		return e.remoteStatus(ctx, id, wait)
	}
	// The owner's end reaches this entry through the log; the owner is only asked for what the log does not say.
	found = e.awaitStatus(ctx, id, wait)
	if found.end != nil {
		return found
	}
	if remote := e.remoteStatus(ctx, id, 0); remote.known {
		return remote
	}
	return found
}

// isOwned says whether this entry owns a live job.
func (e *Entry) isOwned(id string) bool {
	state, ok := e.jobs.state(id)
	return ok && state.Live() && state.Owner == e.config.ID
}

// missing answers for an id that no entry knows: it does not exist only if the log was read after the question.
func (e *Entry) missing(ctx context.Context, asked time.Time, id string) (caller.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, caughtUpLimit)
	defer cancel()
	if !e.jobs.waitCurrent(ctx, asked) {
		return callerStatus(id, status{
			state:   stateUnknown,
			reasons: []string{"the platform's log cannot be read; ask again by id"},
		}), nil
	}
	if found := e.localStatus(id); found.known {
		return callerStatus(id, found), nil
	}
	return caller.Status{}, caller.ErrNotFound
}

// Cancel asks a job's owner to end it and returns the state after that was recorded.
func (e *Entry) Cancel(ctx context.Context, workspace, id string) (caller.Status, error) {
	found, err := e.Lookup(ctx, workspace, id, 0)
	if err != nil {
		return caller.Status{}, err
	}
	if state, ok := e.jobs.state(id); !ok || !state.Live() {
		return found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	err = e.jobs.append(ctx, &peerpb.Record{
		Kind: &peerpb.Record_Cancel{
			Cancel: &peerpb.Cancel{
				Job: id,
			},
		},
	})
	if errors.Is(err, jobstream.ErrNotAppended) {
		return caller.Status{}, fmt.Errorf("%w: %w", caller.ErrNotAccepted, err)
	}
	return e.Lookup(ctx, workspace, id, settleWait)
}

func callerStatus(id string, found status) caller.Status {
	converted := caller.Status{
		ID:        id,
		State:     caller.State(found.state),
		Workspace: found.workspace,
		Reasons:   found.reasons,
	}
	if answer := found.end.GetAnswer(); answer != nil {
		converted.Answer = string(answer.GetBody())
	}
	return converted
}
