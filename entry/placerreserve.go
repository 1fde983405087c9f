package entry

import (
	"context"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

// reserve holds every member and answers the owner, or gives all back.
func (p *placer) reserve(ctx context.Context, wait *placeWait, reservation *peerpb.Reservation) {
	job := wait.request.GetJob()
	run := p.gangRun(job.GetId(), reservation.GetAttempt(), reservation.GetMembers())
	result := run.all(ctx, func(ctx context.Context, member int32, at *peerpb.Member) (bool, string) {
		verdict, err := p.entry.verdict(ctx, at.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Hold{
				Hold: &peerpb.Hold{
					Term:         reservation.GetTerm(),
					Job:          job,
					Attempt:      reservation.GetAttempt(),
					Member:       member,
					Accelerators: at.GetAccelerators(),
					Limit:        durationpb.New(holdLimit),
				},
			},
		})
		ok, refusal := judge(verdict, err)
		if !ok {
			p.suspect(at.GetAgent())
		}
		return ok, refusal
	})
	reply := &peerpb.PlaceReply{
		Reservation: reservation,
	}
	if result.first != "" {
		p.entry.logger.Info("reservation failed", "job", job.GetId(), "reason", result.first)
		run.release(ctx, false, 0)
		reply = &peerpb.PlaceReply{
			Reasons: []string{"reservation failed: " + result.first},
		}
	}
	p.finishReserve(wait, reply, result.first)
}

func (p *placer) finishReserve(wait *placeWait, reply *peerpb.PlaceReply, refusal string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job := wait.request.GetJob().GetId()
	if p.scheduler == nil || p.waits[job] != wait {
		return
	}
	if refusal != "" {
		delete(p.waits, job)
		// The owner's next attempt number supersedes what an agent may still hold of this one.
		p.endLocked(&peerpb.Forget{
			Job:    job,
			Reason: refusal,
		})
	}
	wait.answer(reply)
}

// gangRun addresses the members of an attempt that this entry need not own.
func (p *placer) gangRun(job string, attempt *peerpb.Attempt, members []*peerpb.Member) *gangRun {
	return &gangRun{
		runner: &runner{
			entry: p.entry,
			job: &peerpb.Job{
				Id: job,
			},
		},
		attempt: attempt,
		members: members,
	}
}

// suspect keeps new work away from an agent until it announces itself again.
func (p *placer) suspect(agent string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler != nil {
		p.suspects[agent] = p.entry.config.Clock.Now()
	}
}
