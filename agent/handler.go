package agent

import (
	"context"
	"errors"

	"radishpath.example/radishpath/gang"
	"radishpath.example/radishpath/peer/peerpb"
)

// maxHandled bounds the calls that are answered at the same time. Waiting calls cost a goroutine each.
const maxHandled = 1024

var errOverloaded = errors.New("too many calls")

// handle answers one call of a peer.
func (a *Agent) handle(_ context.Context, request *peerpb.Request) *peerpb.Reply {
	select {
	case a.handled <- struct{}{}:
	default:
		return failure(errOverloaded)
	}
	defer func() { <-a.handled }()
	ctx := a.calls.ctx
	switch kind := request.GetKind().(type) {
	case *peerpb.Request_Hold:
		return verdict(a.hold(kind.Hold))
	case *peerpb.Request_Commit:
		return verdict(a.commit(kind.Commit))
	case *peerpb.Request_Start:
		return a.startTask(ctx, kind.Start)
	case *peerpb.Request_Release:
		return a.release(ctx, kind.Release)
	case *peerpb.Request_Beat:
		return a.beat(ctx, kind.Beat)
	case *peerpb.Request_Serve:
		return a.serve(ctx, kind.Serve)
	case *peerpb.Request_Query:
		return a.query(ctx, kind.Query)
	case *peerpb.Request_Acknowledge:
		return a.acknowledged(ctx, kind.Acknowledge)
	default:
		return failure(errors.New("agents don't answer this request"))
	}
}

func (a *Agent) acknowledge(k key) {
	for _, dropped := range a.answers.acknowledge(k) {
		a.fences.markRun(dropped.key)
		if dropped.request {
			a.requests.acknowledge(dropped.key)
		}
	}
	a.tasks.acknowledge(k)
	a.announcer.changed()
}

func (a *Agent) acknowledged(ctx context.Context, request *peerpb.Acknowledge) *peerpb.Reply {
	if err := a.recovery.await(ctx); err != nil {
		return failure(err)
	}
	a.acknowledge(newKey(request.GetJob(), request.GetAttempt(), request.GetMember()))
	return verdict(nil)
}

func (a *Agent) beat(ctx context.Context, beat *peerpb.Beat) *peerpb.Reply {
	parent, ok := gang.Parent(int(beat.GetMember()), gang.DefaultFanout)
	if !ok {
		return failure(errors.New("the root has no parent"))
	}
	k := newKey(beat.GetJob(), beat.GetAttempt(), int32(parent)) //nolint:gosec // below an int32 member.
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Beat{
			Beat: a.tasks.beat(ctx, k, beat),
		},
	}
}

func (a *Agent) commit(request *peerpb.Commit) error {
	k := newKey(request.GetJob(), request.GetAttempt(), request.GetMember())
	err := a.fences.check(k)
	if err == nil {
		err = a.holds.commit(a.config.Clock.Now(), request)
	}
	return a.decide(decisionCommit, k, err)
}

// decide writes the decision and returns its error.
func (a *Agent) decide(d decision, k key, err error) error {
	if err != nil {
		a.journal.write(decisionRefuse, k, string(d)+": "+err.Error())
		return err
	}
	a.journal.write(d, k, "")
	return nil
}

func (a *Agent) hold(request *peerpb.Hold) error {
	k := newKey(request.GetJob().GetId(), request.GetAttempt(), request.GetMember())
	return a.decide(decisionHold, k, a.tryHold(k, request))
}

func (a *Agent) tryHold(k key, request *peerpb.Hold) error {
	if !a.recovery.tasksRead() {
		return errRecovering
	}
	if err := a.fences.check(k); err != nil {
		return err
	}
	if err := a.gate.check(); err != nil {
		return err
	}
	if err := a.answers.check(); err != nil {
		return err
	}
	info, _ := a.worker.get()
	if err := a.holds.hold(a.config.Clock.Now(), request, info); err != nil {
		return err
	}
	a.fences.note(k)
	return nil
}

// query answers what became of a task or request. A member that is not known is fenced, so that a message still on
// its way can't start it after the owner was told.
func (a *Agent) query(ctx context.Context, request *peerpb.Query) *peerpb.Reply {
	k := newKey(request.GetJob(), request.GetAttempt(), request.GetMember())
	if err := a.recovery.await(ctx); err != nil {
		return failure(err)
	}
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Query{
			Query: a.lookup(k),
		},
	}
}

func (a *Agent) lookup(k key) *peerpb.QueryReply {
	known, ok := a.answers.get(k)
	if !ok && (a.requests.latest(k) != nil || a.tasks.lookup(k) != nil) {
		return &peerpb.QueryReply{
			Known:   true,
			Running: true,
		}
	}
	if !ok {
		known, ok = a.answers.latest(k)
	}
	if ok {
		return &peerpb.QueryReply{
			Known:  true,
			Result: known.serveReply(),
		}
	}
	if a.holds.known(a.config.Clock.Now(), k) {
		return &peerpb.QueryReply{
			Known: true,
		}
	}
	a.fences.close(k)
	return &peerpb.QueryReply{}
}

func (a *Agent) release(ctx context.Context, request *peerpb.Release) *peerpb.Reply {
	if err := a.recovery.await(ctx); err != nil {
		return failure(err)
	}
	a.tasks.release(newKey(request.GetJob(), request.GetAttempt(), request.GetMember()), request.GetCheckpoint(),
		request.GetLimit().AsDuration())
	return verdict(nil)
}

// serve never answers while the outcome is open: a caller that gets no reply asks again.
func (a *Agent) serve(ctx context.Context, request *peerpb.Serve) *peerpb.Reply {
	if err := a.recovery.await(ctx); err != nil {
		return failure(err)
	}
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Serve{
			Serve: a.requests.serve(ctx, request),
		},
	}
}

// startTask waits until the worker's tasks are read back: the one asked for may have been started by an earlier run
// of the agent.
func (a *Agent) startTask(ctx context.Context, request *peerpb.StartTask) *peerpb.Reply {
	if err := a.recovery.await(ctx); err != nil {
		return failure(err)
	}
	k := newKey(request.GetJob(), request.GetAttempt(), request.GetMember())
	err := a.tasks.start(ctx, k)
	if ctx.Err() != nil {
		return failure(errUnknown)
	}
	return verdict(err)
}

func failure(err error) *peerpb.Reply {
	return &peerpb.Reply{
		Error: err.Error(),
	}
}

func verdict(err error) *peerpb.Reply {
	answer := &peerpb.Verdict{
		Ok: err == nil,
	}
	if err != nil {
		answer.Reason = err.Error()
	}
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Verdict{
			Verdict: answer,
		},
	}
}
