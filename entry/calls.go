package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

// errNoPlacer marks that no entry is known to be the placer.
var errNoPlacer = errors.New("no placer known")

// errOtherKind marks a reply that does not answer the request; it says nothing about the job.
var errOtherKind = errors.New("reply of another kind")

// acknowledge lets an agent drop an answer. A lost acknowledgement is repeated when the agent reports again.
func (e *Entry) acknowledge(
	ctx context.Context, address, job string, attempt *peerpb.Attempt, member int32,
) {
	_, err := e.verdict(ctx, address, &peerpb.Request{
		Kind: &peerpb.Request_Acknowledge{
			Acknowledge: &peerpb.Acknowledge{
				Job:     job,
				Attempt: attempt,
				Member:  member,
			},
		},
	})
	if err != nil {
		e.logger.Debug("acknowledge", "job", job, "error", err)
	}
}

// forget tells the placer that a job's attempt ended.
func (e *Entry) forget(ctx context.Context, forget *peerpb.Forget) {
	_, placer := e.terms.current()
	if placer == e.config.ID {
		e.placer.forget(forget)
		return
	}
	address, known := e.members.address(placer)
	if !known {
		return
	}
	_, err := e.verdict(ctx, address, &peerpb.Request{
		Kind: &peerpb.Request_Forget{
			Forget: forget,
		},
	})
	if err != nil {
		e.logger.Debug("tell the placer", "job", forget.GetJob(), "error", err)
	}
}

// pause waits and returns false when ctx ended.
func (e *Entry) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.config.Clock.After(jitter(d)):
		return true
	}
}

// place asks the placer for a reservation.
func (e *Entry) place(ctx context.Context, request *peerpb.Place) (*peerpb.PlaceReply, error) {
	changed := e.termChanges.changed()
	_, placer := e.terms.current()
	if placer == e.config.ID {
		return e.placer.place(ctx, request), nil
	}
	address, known := e.members.address(placer)
	if !known {
		return nil, errNoPlacer
	}
	ctx, cancel := context.WithTimeout(ctx, request.GetWait().AsDuration()+callTimeout)
	defer cancel()
	// A wait for a placer that was replaced ends, so that the job is sent to the new one at once.
	stop := cancelOn(ctx, cancel, changed)
	defer stop()
	reply, err := e.config.Pool.Call(ctx, address, &peerpb.Request{
		Kind: &peerpb.Request_Place{
			Place: request,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("ask placer %s: %w", placer, err)
	}
	return reply.GetPlace(), nil
}

// cancelOn cancels a context when a channel is closed. Call stop to release it; the context has ended then.
func cancelOn(ctx context.Context, cancel context.CancelFunc, closed <-chan struct{}) (stop context.CancelFunc) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-ctx.Done():
		case <-closed:
			cancel()
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// query asks an agent about a job; a nil attempt asks for any.
func (e *Entry) query(
	ctx context.Context, address, job string, attempt *peerpb.Attempt,
) (*peerpb.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := e.config.Pool.Call(ctx, address, &peerpb.Request{
		Kind: &peerpb.Request_Query{
			Query: &peerpb.Query{
				Job:     job,
				Attempt: attempt,
			},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("query job %s: %w", job, err)
	}
	if reply.GetQuery() == nil {
		return nil, fmt.Errorf("query job %s: %w", job, errOtherKind)
	}
	return reply.GetQuery(), nil
}

// verdict makes a call that an agent or entry answers with yes or no.
func (e *Entry) verdict(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.config.Pool.Call(ctx, address, request)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return reply.GetVerdict(), nil
}
