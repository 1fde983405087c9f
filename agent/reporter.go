package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	reportTimeout = time.Second
	// maxReports bounds the reports under way at the same time.
	maxReports = 8
	// reportPause is the longest time between looks at what is due.
	reportPause = time.Second
)

// reporter tells the entries about results until they are acknowledged. An entry that is not the job's owner names
// the owner, and the next try goes there.
type reporter struct {
	agent   string
	clock   clockwork.Clock
	peers   Peers
	answers *answers
	entries func() []string
	// drop forgets a result whose attempt no longer counts.
	drop   func(k key)
	logger hclog.Logger
	wake   chan struct{}
	mu     sync.Mutex
	all    map[key]*reportState
}

// reportState is when and where a result is reported next.
type reportState struct {
	due   time.Time
	owner string
	wait  *backoff.ExponentialBackOff
}

// add schedules a result. The answer of a request goes to its owner in the reply to Serve first.
func (r *reporter) add(added result) {
	due := r.clock.Now()
	if added.request {
		due = due.Add(serveReportDelay)
	}
	r.mu.Lock()
	r.all[added.key] = &reportState{
		due:  due,
		wait: newBackoff(),
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// round reports everything that is due and returns the time until the next result is.
func (r *reporter) round(ctx context.Context) time.Duration {
	var reports errgroup.Group
	reports.SetLimit(maxReports)
	for _, k := range r.due() {
		reports.Go(func() error {
			r.report(ctx, k)
			return nil
		})
	}
	_ = reports.Wait()
	return r.next()
}

func (r *reporter) run(ctx context.Context) {
	for {
		timer := r.clock.NewTimer(r.round(ctx))
		select {
		case <-r.wake:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// due returns the results to report now and forgets those that were acknowledged.
func (r *reporter) due() []key {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []key
	for k, state := range r.all {
		if _, ok := r.answers.get(k); !ok {
			delete(r.all, k)
			continue
		}
		if !now.Before(state.due) {
			keys = append(keys, k)
		}
	}
	return keys
}

func (r *reporter) next() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := reportPause
	for _, state := range r.all {
		next = min(next, max(r.clock.Until(state.due), time.Millisecond))
	}
	return next
}

// report sends one report. An accepted one is repeated with backoff until it is acknowledged, because the entry that
// accepted it may be gone before it has recorded it.
func (r *reporter) report(ctx context.Context, k key) {
	reported, ok := r.answers.get(k)
	address, err := r.target(k)
	if !ok {
		return
	}
	var reply *peerpb.Reply
	if err == nil {
		callCtx, cancel := clockwork.WithTimeout(ctx, r.clock, reportTimeout)
		defer cancel()
		reply, err = r.peers.Call(callCtx, address, &peerpb.Request{
			Kind: &peerpb.Request_Report{
				Report: reported.report(r.agent),
			},
		})
	}
	if err != nil {
		r.logger.Warn("report", "job", k.job, "attempt", k.attempt.String(), "member", k.member, "error", err)
	}
	if reply.GetReport().GetDrop() {
		r.logger.Info("result dropped", "job", k.job, "attempt", k.attempt.String(), "member", k.member)
		r.drop(k)
		return
	}
	r.reschedule(k, address, err, reply.GetReport())
}

func (r *reporter) reschedule(k key, address string, err error, reply *peerpb.ReportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.all[k]
	if !ok {
		return
	}
	wait := state.wait.NextBackOff()
	owner := reply.GetOwner().GetAddress()
	switch {
	case err != nil:
		state.owner = ""
	case reply.GetAccepted():
		state.owner = address
		wait = maxBackoff
	case owner != "" && owner != address && state.owner == "":
		state.owner = owner
		wait = 0
	default:
		state.owner = owner
	}
	state.due = r.clock.Now().Add(wait)
}

// target returns the owner's address if it is known, else that of any entry.
func (r *reporter) target(k key) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.all[k]; ok && state.owner != "" {
		return state.owner, nil
	}
	entries := r.entries()
	if len(entries) == 0 {
		return "", errors.New("no entry is known")
	}
	return entries[rand.IntN(len(entries))], nil //nolint:gosec // any entry will do.
}
