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

// settleWait is how long the other members get to end after one of them has ended early.
const settleWait = 5 * time.Second

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

// release drops the attempt everywhere, with a checkpoint first if asked. Tasks stop within the limit, at once if it is
// zero.
func (g *gangRun) release(ctx context.Context, checkpoint bool, limit time.Duration) {
	g.all(ctx, func(ctx context.Context, member int32, at *peerpb.Member) (bool, string) {
		verdict, err := g.runner.entry.verdict(ctx, at.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Release{
				Release: &peerpb.Release{
					Job:        g.runner.job.GetId(),
					Attempt:    g.attempt,
					Member:     member,
					Checkpoint: checkpoint,
					Limit:      durationpb.New(limit),
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
			g.release(ctx, false, 0)
		case <-settled:
			g.giveUp("its agent did not report in time")
		}
		if settled == nil && (g.endedEarly() || cancelled == nil) {
			settled = g.runner.entry.config.Clock.After(settleWait)
			g.release(ctx, g.runner.job.GetCheckpointable() && cancelled != nil, 0)
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
