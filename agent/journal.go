package agent

import (
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// decision is what the agent did with a task or request.
type decision string

const (
	decisionHold    decision = "hold"
	decisionCommit  decision = "commit"
	decisionStart   decision = "start"
	decisionServe   decision = "serve"
	decisionRefuse  decision = "refuse"
	decisionRelease decision = "release"
	decisionLapse   decision = "lapse"
	decisionEnd     decision = "end"
	decisionAdopt   decision = "adopt"
)

// journal writes one log line and counts one metric for each decision.
type journal struct {
	logger   hclog.Logger
	counters map[decision]tally.Counter
}

func newJournal(logger hclog.Logger, metrics tally.Scope, worker, zone string) *journal {
	counters := map[decision]tally.Counter{}
	for _, d := range []decision{
		decisionHold, decisionCommit, decisionStart, decisionServe, decisionRefuse, decisionRelease, decisionLapse,
		decisionEnd, decisionAdopt,
	} {
		counters[d] = metrics.Tagged(map[string]string{
			"decision": string(d),
		}).Counter("decisions")
	}
	return &journal{
		logger:   logger.With("worker", worker, "zone", zone),
		counters: counters,
	}
}

func (j *journal) write(d decision, k key, reason string) {
	j.counters[d].Inc(1)
	j.logger.Info(string(d), "job", k.job, "attempt", k.attempt.String(), "member", k.member, "reason", reason)
}
