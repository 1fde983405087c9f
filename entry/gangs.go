package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	placePoll = 2 * time.Second
	// settleWait is how long the other members get to end after one of them has ended early.
	settleWait = 5 * time.Second
	gangPoll   = 500 * time.Millisecond
	// memberGone is when a member that neither its agent announces nor anybody reported counts as lost.
	memberGone = 8 * time.Second
)

// memberEnd is how one member of a gang ended.
type memberEnd struct {
	done         bool
	failed       bool
	checkpointed bool
	reason       string
	agent        string
	answer       *peerpb.Answer
}

// gangRun is one attempt of a gang job.
type gangRun struct {
	runner  *runner
	attempt *peerpb.Attempt
	members []*peerpb.Member
	ends    map[int32]memberEnd
	// seen is when a member was last known to exist.
	seen map[int32]time.Time
}

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
		run.release(ctx, false)
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
		run.release(ctx, false)
	}
	run.watch(ctx)
	return r.settleGang(ctx, run)
}

// abandon gives a reservation back before any member was started.
func (r *runner) abandon(ctx context.Context, run *gangRun, reason string) bool {
	run.release(ctx, false)
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
	run.release(ctx, false)
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

// acknowledge lets the agents drop what they keep for the attempt.
func (g *gangRun) acknowledge(ctx context.Context) {
	for member, at := range g.members {
		if _, ended := g.ends[int32(member)]; ended {
			g.runner.entry.acknowledge(ctx, at.GetAddress(), g.runner.job.GetId(), g.attempt, int32(member))
		}
	}
}

// agents returns the members' agents.
func (g *gangRun) agents() []string {
	agents := make([]string, 0, len(g.members))
	for _, member := range g.members {
		agents = append(agents, member.GetAgent())
	}
	return agents
}

// answer joins the members' answers: the answer itself for one member, a JSON array of strings for more.
func (g *gangRun) answer() *peerpb.Answer {
	if len(g.members) == 1 {
		return g.ends[0].answer
	}
	parts := make([]string, 0, len(g.members))
	for member := range g.members {
		parts = append(parts, string(g.ends[int32(member)].answer.GetBody()))
	}
	body, err := json.Marshal(parts)
	if err != nil {
		g.runner.entry.logger.Error("join answers", "job", g.runner.job.GetId(), "error", err)
	}
	return &peerpb.Answer{
		Job:     g.runner.job.GetId(),
		Attempt: g.attempt,
		Length:  int64(len(body)),
		Crc32C:  crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)),
		Body:    body,
	}
}

// commit turns all holds into commitments; it returns the first refusal.
func (g *gangRun) commit(ctx context.Context) string {
	refusals := g.all(ctx, func(ctx context.Context, member int32, at *peerpb.Member) (bool, string) {
		verdict, err := g.runner.entry.verdict(ctx, at.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Commit{
				Commit: &peerpb.Commit{
					Job:     g.runner.job.GetId(),
					Attempt: g.attempt,
					Member:  member,
					Members: g.members,
				},
			},
		})
		return judge(verdict, err)
	})
	return refusals.first
}

// failure returns the first member that failed by itself.
func (g *gangRun) failure() (agent, reason string) {
	for member := range g.members {
		if end := g.ends[int32(member)]; end.failed {
			return end.agent, end.reason
		}
	}
	return "", ""
}

// isCheckpointed says whether every member can go on from a checkpoint.
func (g *gangRun) isCheckpointed() bool {
	for member := range g.members {
		if !g.ends[int32(member)].checkpointed {
			return false
		}
	}
	return true
}

// isDone says whether every member is done.
func (g *gangRun) isDone() bool {
	for member := range g.members {
		if !g.ends[int32(member)].done {
			return false
		}
	}
	return true
}

// reason says why the attempt did not finish.
func (g *gangRun) reason() string {
	for member := range g.members {
		if end := g.ends[int32(member)]; !end.done {
			return fmt.Sprintf("member %d: %s", member, end.reason)
		}
	}
	return "all members are done"
}

// release drops the attempt everywhere, with a checkpoint first if asked.
func (g *gangRun) release(ctx context.Context, checkpoint bool) {
	g.all(ctx, func(ctx context.Context, member int32, at *peerpb.Member) (bool, string) {
		verdict, err := g.runner.entry.verdict(ctx, at.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Release{
				Release: &peerpb.Release{
					Job:        g.runner.job.GetId(),
					Attempt:    g.attempt,
					Member:     member,
					Checkpoint: checkpoint,
				},
			},
		})
		return judge(verdict, err)
	})
}

// start starts all members. It returns the first definite refusal and whether any member may have started.
func (g *gangRun) start(ctx context.Context) (refusal string, started bool) {
	result := g.all(ctx, func(ctx context.Context, member int32, at *peerpb.Member) (bool, string) {
		verdict, err := g.runner.entry.verdict(ctx, at.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Start{
				Start: &peerpb.StartTask{
					Job:     g.runner.job.GetId(),
					Attempt: g.attempt,
					Member:  member,
				},
			},
		})
		if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrRemote) {
			// The task may be running; its report or the gang's watch will tell.
			return true, ""
		}
		return judge(verdict, err)
	})
	return result.first, result.succeeded > 0
}

// watch collects reports until every member has ended.
func (g *gangRun) watch(ctx context.Context) {
	ticker := g.runner.entry.config.Clock.NewTicker(gangPoll)
	defer ticker.Stop()
	cancelled := g.runner.cancelled
	var settled <-chan time.Time
	for len(g.ends) < len(g.members) {
		select {
		case <-ctx.Done():
			return
		case report := <-g.runner.reports:
			g.record(report)
		case <-ticker.Chan():
			g.findLost()
			g.runner.movable.Store(g.isAnnounced())
		case <-cancelled:
			cancelled = nil
			g.release(ctx, false)
		case <-settled:
			g.giveUp("its agent did not report in time")
		}
		if settled == nil && (g.endedEarly() || cancelled == nil) {
			settled = g.runner.entry.config.Clock.After(settleWait)
			g.release(ctx, g.runner.job.GetCheckpointable() && cancelled != nil)
		}
	}
}

// endedEarly says whether a member ended without being done.
func (g *gangRun) endedEarly() bool {
	for _, end := range g.ends {
		if !end.done {
			return true
		}
	}
	return false
}

// isAnnounced says whether the agents announce every member, so that another entry could find the gang.
func (g *gangRun) isAnnounced() bool {
	found := map[int32]bool{}
	for _, placed := range g.runner.entry.fleet.tasksOf(g.runner.job.GetId()) {
		if compareAttempts(placed.task.GetAttempt(), g.attempt) == 0 && !placed.task.GetHold() {
			found[placed.task.GetMember()] = true
		}
	}
	return len(found) == len(g.members)
}

// findLost marks members that nobody announces any more.
func (g *gangRun) findLost() {
	now := g.runner.entry.config.Clock.Now()
	for _, placed := range g.runner.entry.fleet.tasksOf(g.runner.job.GetId()) {
		if compareAttempts(placed.task.GetAttempt(), g.attempt) == 0 {
			g.seen[placed.task.GetMember()] = now
		}
	}
	for member := range g.members {
		if _, ended := g.ends[int32(member)]; !ended && now.Sub(g.seen[int32(member)]) > memberGone {
			g.ends[int32(member)] = memberEnd{
				reason: "its agent is gone",
			}
		}
	}
}

// giveUp marks the members that have not ended as lost.
func (g *gangRun) giveUp(reason string) {
	for member := range g.members {
		if _, ended := g.ends[int32(member)]; !ended {
			g.ends[int32(member)] = memberEnd{
				reason: reason,
			}
		}
	}
}

// record takes a member's report; reports of other attempts and broken answers are dropped.
func (g *gangRun) record(report *peerpb.Report) {
	logger := g.runner.entry.logger
	_, ok := memberIndex(report.GetMember(), len(g.members))
	if !ok || compareAttempts(report.GetAttempt(), g.attempt) != 0 {
		logger.Warn("drop report of another attempt", "job", report.GetJob(), "member", report.GetMember(),
			"attempt", attemptText(report.GetAttempt()), "current", attemptText(g.attempt))
		return
	}
	if _, ended := g.ends[report.GetMember()]; ended {
		return
	}
	end := memberEnd{
		failed:       report.GetFailed(),
		checkpointed: report.GetCheckpointed(),
		reason:       report.GetReason(),
		agent:        report.GetAgent(),
		answer:       report.GetAnswer(),
	}
	if !end.failed && !end.checkpointed && !report.GetLost() {
		if err := checkAnswer(report.GetJob(), report.GetAnswer()); err != nil {
			logger.Warn("drop answer", "job", report.GetJob(), "agent", report.GetAgent(), "error", err)
			end.reason = err.Error()
		} else {
			end.done = true
		}
	}
	g.ends[report.GetMember()] = end
}
