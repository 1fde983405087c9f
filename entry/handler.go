package entry

import (
	"context"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

// Handle answers another process.
func (e *Entry) Handle(ctx context.Context, request *peerpb.Request) *peerpb.Reply {
	switch kind := request.GetKind().(type) {
	case *peerpb.Request_Announce:
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Announce{
				Announce: e.handleAnnounce(kind.Announce),
			},
		}
	case *peerpb.Request_Heartbeat:
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Heartbeat{
				Heartbeat: e.handleHeartbeat(kind.Heartbeat),
			},
		}
	case *peerpb.Request_Place:
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Place{
				Place: e.placer.place(ctx, kind.Place),
			},
		}
	case *peerpb.Request_Report:
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Report{
				Report: e.handleReport(kind.Report),
			},
		}
	case *peerpb.Request_Lookup:
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Lookup{
				Lookup: e.handleLookup(ctx, kind.Lookup),
			},
		}
	default:
		return e.handleOrder(request)
	}
}

// handleOrder answers the requests that get a verdict.
func (e *Entry) handleOrder(request *peerpb.Request) *peerpb.Reply {
	switch kind := request.GetKind().(type) {
	case *peerpb.Request_Forget:
		e.placer.forget(kind.Forget)
	case *peerpb.Request_Handover:
		e.handovers.add(kind.Handover)
	default:
		return &peerpb.Reply{
			Error: "an entry does not answer this request",
		}
	}
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Verdict{
			Verdict: &peerpb.Verdict{
				Ok: true,
			},
		},
	}
}

// handleAnnounce records an agent's announcement and tells it what it may rely on.
func (e *Entry) handleAnnounce(announce *peerpb.Announce) *peerpb.AnnounceReply {
	now := e.config.Clock.Now()
	resend, changed := e.fleet.announce(now, announce)
	if changed {
		e.placer.kick()
		e.fleetChanges.notify()
	}
	term, _ := e.terms.current()
	reply := &peerpb.AnnounceReply{
		Term:    term,
		Entries: e.fleet.name(now, announce.GetAgent(), append(e.members.heard(), e.info())),
		Resend:  resend,
	}
	if asOf, ok := confirmation(now, e.documents.lastRead(), e.members.list()); ok {
		reply.Confirmed = true
		reply.Age = durationpb.New(now.Sub(asOf))
	}
	if revision, text := e.documents.current(); announce.GetRevision() < revision {
		reply.Document = &peerpb.Document{
			Revision: revision,
			Text:     text,
		}
	}
	return reply
}

// handleHeartbeat takes over what the sender knows and answers with what this entry knows.
func (e *Entry) handleHeartbeat(beat *peerpb.Heartbeat) *peerpb.HeartbeatReply {
	e.absorb(beat, noTime)
	return &peerpb.HeartbeatReply{
		Beat: e.heartbeat(beat.GetRevision()),
	}
}

// handleReport passes a member's end to the job's runner, or names the owner.
func (e *Entry) handleReport(report *peerpb.Report) *peerpb.ReportReply {
	state, ok := e.jobs.state(report.GetJob())
	switch {
	case !ok || state.Job == nil:
		// The job may be in a part of the log that this entry has not read yet.
		return &peerpb.ReportReply{
			Drop: ok && state.Voided,
		}
	case state.End != nil:
		return &peerpb.ReportReply{
			Drop: true,
		}
	case state.Owner != e.config.ID:
		address, _ := e.members.address(state.Owner)
		return &peerpb.ReportReply{
			Owner: &peerpb.EntryInfo{
				Id:      state.Owner,
				Address: address,
			},
		}
	}
	return &peerpb.ReportReply{
		Accepted: e.owner.deliver(report),
	}
}

// handleLookup answers another entry's question about a job.
func (e *Entry) handleLookup(ctx context.Context, lookup *peerpb.Lookup) *peerpb.LookupReply {
	status := e.awaitStatus(ctx, lookup.GetJob(), lookup.GetWait().AsDuration())
	if !status.known {
		return &peerpb.LookupReply{}
	}
	reply := &peerpb.LookupReply{
		Known:     true,
		State:     status.state,
		Workspace: status.workspace,
		End:       status.end,
	}
	if len(status.reasons) > 0 {
		reply.Reason = status.reasons[0]
	}
	return reply
}
