package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	placePoll = 2 * time.Second
	gangPoll  = 500 * time.Millisecond
	// memberGone is when a member that neither its agent announces nor anybody reported counts as lost.
	memberGone = 8 * time.Second
)

// runGang reserves, commits and starts a gang until one attempt ended it.
func (r *runner) runGang(ctx context.Context) {
	if r.adopted {
		if r.attachGang(ctx) {
			return
		}
		if r.started {
			r.end(ctx, &peerpb.End{
				Outcome: peerpb.Outcome_OUTCOME_LOST,
				Reasons: []string{"its entry and its tasks are gone; it may have run"},
			})
			return
		}
	}
	for ctx.Err() == nil {
		r.movable.Store(true)
		if r.entry.owner.isDraining() {
			<-ctx.Done()
			return
		}
		if r.endUnstarted(ctx) {
			r.forget(ctx, &peerpb.Forget{})
			return
		}
		run, ok := r.reserve(ctx)
		if !ok {
			if r.isSuperseded() {
				return
			}
			continue
		}
		if r.attemptGang(ctx, run) {
			return
		}
	}
}

// reserve asks the placer for a place. It also ends a job that can never run.
func (r *runner) reserve(ctx context.Context) (*gangRun, bool) {
	asked := r.entry.config.Clock.Now()
	reply, err := r.entry.place(ctx, &peerpb.Place{
		Job: r.job,
		Attempt: &peerpb.Attempt{
			Generation: r.generation,
			Count:      r.count + 1,
		},
		Owner: r.entry.config.ID,
		Wait:  durationpb.New(placePoll),
	})
	switch {
	case err != nil:
		// The placer may hold members for this attempt; the next one supersedes it.
		r.count++
		r.setState(stateQueued, "waits for the placer: "+err.Error())
		r.sleep(ctx)
		return nil, false
	case reply.GetImpossible() && r.ran:
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_FAILED,
			Reasons: append(r.failureReasons(), reply.GetReasons()...),
		})
		return nil, false
	case reply.GetImpossible():
		r.refuse(ctx, peerpb.Outcome_OUTCOME_REFUSED, reply.GetReasons()...)
		return nil, false
	case reply.GetReservation() == nil:
		// Members that refused a hold refuse this attempt from now on.
		r.count++
		r.setState(stateQueued, reply.GetReasons()...)
		if r.entry.config.Clock.Since(asked) < placePoll {
			r.sleep(ctx)
		}
		return nil, false
	}
	r.count = reply.GetReservation().GetAttempt().GetCount()
	return r.newGangRun(reply.GetReservation().GetAttempt(), reply.GetReservation().GetMembers()), true
}

func (r *runner) newGangRun(attempt *peerpb.Attempt, members []*peerpb.Member) *gangRun {
	run := &gangRun{
		runner:  r,
		attempt: attempt,
		members: members,
		ends:    map[int32]memberEnd{},
		seen:    map[int32]time.Time{},
	}
	for member := range members {
		run.seen[int32(member)] = r.entry.config.Clock.Now()
	}
	return run
}

// attemptGang commits, starts and watches one attempt. It returns true when the job has ended or is not ours any more.
func (r *runner) attemptGang(ctx context.Context, run *gangRun) bool {
	agents := run.agents()
	r.movable.Store(false)
	if r.entry.owner.isDraining() {
		return r.abandon(ctx, run, "the entry is leaving")
	}
	if !r.start(ctx, agents) {
		run.release(ctx, false, 0)
		if r.isSuperseded() {
			return true
		}
		r.forget(ctx, &peerpb.Forget{
			Again: true,
		})
		r.sleep(ctx)
		return false
	}
	if reason := run.commit(ctx); reason != "" {
		return r.abandon(ctx, run, reason)
	}
	if r.isCancelled() {
		return r.abandon(ctx, run, "cancelled")
	}
	r.tries = 0
	r.setState(stateRunning)
	r.entry.trace.write(decision{
		Kind:       "start",
		Job:        r.job.GetId(),
		Workspace:  r.job.GetWorkspace(),
		Generation: run.attempt.GetGeneration(),
		Count:      run.attempt.GetCount(),
		Agents:     agents,
	})
	refusal, started := run.start(ctx)
	r.ran = r.ran || started
	if refusal != "" && !started {
		return r.abandon(ctx, run, refusal)
	}
	if refusal != "" {
		run.release(ctx, false, 0)
	}
	run.watch(ctx)
	return r.settleGang(ctx, run)
}

// abandon gives a reservation back before any member was started.
func (r *runner) abandon(ctx context.Context, run *gangRun, reason string) bool {
	run.release(ctx, false, 0)
	r.forget(ctx, &peerpb.Forget{
		Again:  true,
		Reason: reason,
	})
	r.setState(stateQueued, reason)
	r.sleep(ctx)
	return false
}

// attachGang finds the tasks of a gang that another entry had started and watches them to their end.
func (r *runner) attachGang(ctx context.Context) bool {
	r.setState(stateRunning, "looks for the gang's tasks")
	deadline := r.entry.config.Clock.Now().Add(memberGone)
	for ctx.Err() == nil && r.entry.config.Clock.Now().Before(deadline) {
		run, complete := r.findGang()
		if complete {
			r.entry.logger.Info("attach to running gang", "job", r.job.GetId(), "attempt", attemptText(run.attempt))
			r.count = run.attempt.GetCount()
			run.watch(ctx)
			return r.settleGang(ctx, run)
		}
		r.entry.pause(ctx, gangPoll)
	}
	run, _ := r.findGang()
	run.release(ctx, false, 0)
	return ctx.Err() != nil
}

// findGang collects the announced tasks of the highest attempt.
func (r *runner) findGang() (*gangRun, bool) {
	members := make([]*peerpb.Member, max(r.job.GetMembers(), 1))
	var highest *peerpb.Attempt
	tasks := r.entry.fleet.tasksOf(r.job.GetId())
	for _, placed := range tasks {
		if !placed.task.GetHold() && compareAttempts(placed.task.GetAttempt(), highest) > 0 {
			highest = placed.task.GetAttempt()
		}
	}
	found := 0
	for _, placed := range tasks {
		at, ok := memberIndex(placed.task.GetMember(), len(members))
		if !ok || placed.task.GetHold() || members[at] != nil ||
			compareAttempts(placed.task.GetAttempt(), highest) != 0 {
			continue
		}
		found++
		members[at] = &peerpb.Member{
			Agent:        placed.agent,
			Address:      placed.address,
			Accelerators: placed.task.GetAccelerators(),
		}
	}
	return r.newGangRun(highest, members), found == int(max(r.job.GetMembers(), 1))
}

// settleGang decides what an attempt's ends mean for the job.
func (r *runner) settleGang(ctx context.Context, run *gangRun) bool {
	if ctx.Err() != nil {
		return true
	}
	failedAt, reason := run.failure()
	switch {
	case run.isDone():
		r.forget(ctx, &peerpb.Forget{
			Ok: true,
		})
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_DONE,
			Answer:  run.answer(),
		})
	case r.isCancelled():
		r.forget(ctx, &peerpb.Forget{})
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_CANCELLED,
			Reasons: []string{"cancelled by the caller while it ran"},
		})
	case failedAt != "" && (r.fail(failedAt, reason) || !r.job.GetIdempotent()):
		r.forget(ctx, &peerpb.Forget{
			Agent:  failedAt,
			Reason: reason,
		})
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_FAILED,
			Reasons: r.failureReasons(),
		})
	case r.job.GetIdempotent() || run.isCheckpointed():
		r.forget(ctx, &peerpb.Forget{
			Agent:  failedAt,
			Reason: run.reason(),
			Again:  true,
		})
		run.acknowledge(ctx)
		r.setState(stateQueued, "runs again: "+run.reason())
		return false
	default:
		r.forget(ctx, &peerpb.Forget{})
		r.end(ctx, &peerpb.End{
			Outcome: peerpb.Outcome_OUTCOME_LOST,
			Reasons: []string{"started and not finished: " + run.reason()},
		})
	}
	run.acknowledge(ctx)
	return true
}
