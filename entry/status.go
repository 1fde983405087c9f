package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

// States that callers see.
const (
	stateQueued    = "queued"
	stateRunning   = "running"
	stateDone      = "done"
	stateFailed    = "failed"
	stateRefused   = "refused"
	stateCancelled = "cancelled"
	stateLost      = "lost"
	stateUnknown   = "unknown"
)

var (
	errLeaving     = errors.New("the entry is leaving")
	errNotCaughtUp = errors.New("the job stream was not read to its end yet")
)

// status is what is known of a job.
type status struct {
	known     bool
	state     string
	workspace string
	reasons   []string
	end       *peerpb.End
}

// stateOf names an outcome.
func stateOf(outcome peerpb.Outcome) string {
	switch outcome {
	case peerpb.Outcome_OUTCOME_DONE:
		return stateDone
	case peerpb.Outcome_OUTCOME_FAILED:
		return stateFailed
	case peerpb.Outcome_OUTCOME_REFUSED:
		return stateRefused
	case peerpb.Outcome_OUTCOME_CANCELLED:
		return stateCancelled
	case peerpb.Outcome_OUTCOME_LOST:
		return stateLost
	default:
		return stateUnknown
	}
}

// endedStatus describes an ended job.
func endedStatus(workspace string, end *peerpb.End) status {
	return status{
		known:     true,
		state:     stateOf(end.GetOutcome()),
		workspace: workspace,
		reasons:   end.GetReasons(),
		end:       end,
	}
}

// localStatus says what this entry knows of a job without asking anybody.
func (e *Entry) localStatus(id string) status {
	state, ok := e.jobs.state(id)
	if ok && state.End != nil {
		return endedStatus(state.Job.GetWorkspace(), e.jobs.wholeEnd(state))
	}
	if carry, shared := e.handovers.get(id); shared {
		return endedStatus(carry.GetJob().GetWorkspace(), carry.GetEnd())
	}
	if !ok || state.Job == nil {
		if workspace, direct := e.owner.direct(id); direct {
			return status{
				known:     true,
				state:     stateRunning,
				workspace: workspace,
			}
		}
		return status{}
	}
	found := status{
		known:     true,
		state:     stateQueued,
		workspace: state.Job.GetWorkspace(),
	}
	if r, owned := e.owner.get(id); owned {
		found.state, found.reasons = r.shown()
	}
	return found
}

// awaitStatus waits until a job has ended, at most as long as wait says, and returns what this entry knows.
func (e *Entry) awaitStatus(ctx context.Context, id string, wait time.Duration) status {
	timeout := e.config.Clock.After(wait)
	for {
		changed, done := e.jobs.changes.add(id)
		found := e.localStatus(id)
		if found.end != nil || wait <= 0 {
			done()
			return found
		}
		select {
		case <-ctx.Done():
			done()
			return found
		case <-timeout:
			done()
			return found
		case <-changed:
		}
	}
}

// remoteStatus asks the job's owner, or all other entries if no owner is known.
func (e *Entry) remoteStatus(ctx context.Context, id string, wait time.Duration) status {
	ownerID := ""
	if state, ok := e.jobs.state(id); ok {
		ownerID = state.Owner
	}
	best := status{}
	for _, known := range e.members.list() {
		if ownerID != "" && known.info.GetId() != ownerID {
			continue
		}
		found, err := e.lookup(ctx, known.info.GetAddress(), id, wait)
		if err == nil && found.known && (!best.known || found.end != nil) {
			best = found
		}
	}
	return best
}

func (e *Entry) lookup(ctx context.Context, address, id string, wait time.Duration) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	reply, err := e.config.Pool.Call(ctx, address, &peerpb.Request{
		Kind: &peerpb.Request_Lookup{
			Lookup: &peerpb.Lookup{
				Job:  id,
				Wait: durationpb.New(wait),
			},
		},
	})
	if err != nil {
		return status{}, fmt.Errorf("look up job %s: %w", id, err)
	}
	found := reply.GetLookup()
	result := status{
		known:     found.GetKnown(),
		state:     found.GetState(),
		workspace: found.GetWorkspace(),
		end:       found.GetEnd(),
	}
	if found.GetReason() != "" {
		result.reasons = []string{found.GetReason()}
	}
	if result.end != nil {
		result.reasons = result.end.GetReasons()
	}
	return result, nil
}
