package entry

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxFailures ends a job that failed on that many different workers or backend servers.
	maxFailures = 3
	// reportBuffer holds the reports of a gang while its runner is busy; agents send again what did not fit.
	reportBuffer = 64
	// tryInterval is the first pause between tries to place or route a job; it doubles up to lastInterval, so that a
	// job that is refused everywhere costs little.
	tryInterval  = 25 * time.Millisecond
	lastInterval = 400 * time.Millisecond
	maxDoublings = 5
)

// runner drives one job that this entry owns, from acceptance to its end.
type runner struct {
	entry      *Entry
	job        *peerpb.Job
	generation int64
	// adopted says that another entry owned the job before, so that work of it may be running.
	adopted bool
	// restated says that a carry stated the job.
	restated bool
	// direct says that the request has no accept record because the log is unavailable.
	direct bool
	// movable says that another entry could take the job over now.
	movable atomic.Bool
	reports chan *peerpb.Report
	// cancelled is closed when a caller cancelled the job.
	cancelled  chan struct{}
	cancelOnce sync.Once
	done       chan struct{}

	// started says that a start record took effect.
	started bool
	// ran says that the job may have run, in an attempt of this owner or of an earlier one. It is then never refused.
	ran   bool
	count int32
	// excluded are the agents that refused the request since the last round over all of them.
	excluded []string
	// large is the class of the request, picked the time of the last choice.
	large  bool
	picked time.Time
	// tries counts the pauses since the last progress.
	tries int
	// failures counts failed attempts by agent.
	failures map[string]string

	mu      sync.Mutex
	state   string
	reasons []string
}

func newRunner(e *Entry, state ledger.State, adopted bool) *runner {
	return &runner{
		entry:      e,
		job:        state.Job,
		generation: state.Generation,
		adopted:    adopted,
		restated:   state.Restated != 0,
		started:    state.Started,
		ran:        state.Started || (adopted && state.Job.GetIdempotent()),
		reports:    make(chan *peerpb.Report, reportBuffer),
		cancelled:  make(chan struct{}),
		done:       make(chan struct{}),
		failures:   map[string]string{},
		state:      stateQueued,
	}
}

// attempt returns the current attempt.
func (r *runner) attempt() *peerpb.Attempt {
	return &peerpb.Attempt{
		Generation: r.generation,
		Count:      r.count,
	}
}

// cancel ends the job at its next step.
func (r *runner) cancel() {
	r.cancelOnce.Do(func() { close(r.cancelled) })
}

// deliver hands a report to the runner and says whether there was room.
func (r *runner) deliver(report *peerpb.Report) bool {
	select {
	case r.reports <- report:
		return true
	default:
		return false
	}
}

// end records the job's end.
func (r *runner) end(ctx context.Context, end *peerpb.End) {
	end.Job = r.job.GetId()
	end.Generation = r.generation
	if r.direct {
		r.entry.finishDirect(ctx, r.job, end)
		return
	}
	r.entry.finish(ctx, r.job, end)
}

// fail counts a failure and says whether the job has failed in too many places.
func (r *runner) fail(agent, reason string) bool {
	r.failures[agent] = reason
	return len(r.failures) >= maxFailures
}

// failureReasons lists the failures by agent.
func (r *runner) failureReasons() []string {
	reasons := make([]string, 0, len(r.failures))
	for agent, reason := range r.failures {
		reasons = append(reasons, fmt.Sprintf("failed at %s: %s", agent, reason))
	}
	return reasons
}

// forget tells the placer how the job's attempt ended.
func (r *runner) forget(ctx context.Context, forget *peerpb.Forget) {
	forget.Job = r.job.GetId()
	r.entry.forget(ctx, forget)
}

// endUncertain ends an adopted non-idempotent job whose earlier records the log may have dropped: it was accepted more
// than half of the retention ago and never restated, so a start of it may be among the dropped records.
func (r *runner) endUncertain(ctx context.Context) bool {
	if !r.adopted || r.restated || r.job.GetIdempotent() || r.job.GetAccepted() == nil {
		return false
	}
	if r.entry.config.Clock.Since(r.job.GetAccepted().AsTime()) < r.entry.config.Retention/2 {
		return false
	}
	r.end(ctx, &peerpb.End{
		Outcome: peerpb.Outcome_OUTCOME_LOST,
		Reasons: []string{"the platform's log no longer has its records; it may have run"},
	})
	return true
}

// isCancelled says whether a caller cancelled the job.
func (r *runner) isCancelled() bool {
	select {
	case <-r.cancelled:
		return true
	default:
		return false
	}
}

// isLate says whether the job's deadline for starting has passed.
func (r *runner) isLate() bool {
	deadline := r.job.GetDeadline()
	return deadline != nil && r.entry.config.Clock.Now().After(deadline.AsTime())
}

// isRequest says whether the job runs in a slot of a backend server.
func isRequest(job *peerpb.Job) bool {
	return job.GetAccelerators() == 0 && job.GetMembers() <= 1
}

// refuse ends a job that never started, and says why it did.
func (r *runner) refuse(ctx context.Context, outcome peerpb.Outcome, reasons ...string) {
	r.end(ctx, &peerpb.End{
		Outcome:      outcome,
		Reasons:      reasons,
		NeverStarted: true,
	})
}

// run drives the job until it has ended or ctx ends.
func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	if r.entry.endFromPeer(ctx, r) || r.endUncertain(ctx) {
		return
	}
	if isRequest(r.job) {
		r.runRequest(ctx)
		return
	}
	r.runGang(ctx)
}

// setState shows the job's state to callers.
func (r *runner) setState(state string, reasons ...string) {
	r.mu.Lock()
	r.state = state
	r.reasons = reasons
	r.mu.Unlock()
	r.entry.jobs.changes.notify(r.job.GetId())
}

// shown returns the state that callers see.
func (r *runner) shown() (string, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.reasons
}

// sleep waits before another try; it returns early when the job is cancelled or ctx ends.
func (r *runner) sleep(ctx context.Context) {
	interval := min(tryInterval<<min(r.tries, maxDoublings), lastInterval)
	r.tries++
	select {
	case <-ctx.Done():
	case <-r.cancelled:
	case <-r.entry.config.Clock.After(jitter(interval)):
	}
}

// start makes sure that a start record took effect before a non-idempotent job runs. It returns false when the job
// must not run: it was cancelled, is late, ended, or belongs to another entry by now.
func (r *runner) start(ctx context.Context, agents []string) bool {
	if r.job.GetIdempotent() || r.started {
		return true
	}
	wanted, stop := r.whileWanted(ctx)
	defer stop()
	err := r.entry.jobs.append(wanted, &peerpb.Record{
		Kind: &peerpb.Record_Start{
			Start: &peerpb.Start{
				Job:        r.job.GetId(),
				Generation: r.generation,
				Agents:     agents,
			},
		},
	})
	state, ok := r.entry.jobs.state(r.job.GetId())
	r.started = ok && state.Started && state.Generation == r.generation && state.End == nil
	if !r.started && err != nil {
		r.setState(stateQueued, "waits for the platform's log: "+err.Error())
	}
	return r.started
}

// whileWanted returns a context that ends when the job is cancelled or its deadline passes, so that the job does not
// start after an outage of the log that outlasts either.
func (r *runner) whileWanted(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := cancelOn(ctx, cancel, r.cancelled)
	if r.job.GetDeadline() == nil {
		return ctx, stop
	}
	timer := r.entry.config.Clock.AfterFunc(r.entry.config.Clock.Until(r.job.GetDeadline().AsTime()), cancel)
	return ctx, func() {
		timer.Stop()
		stop()
	}
}

// attemptText formats an attempt for logs and reasons.
func attemptText(attempt *peerpb.Attempt) string {
	return strconv.FormatInt(attempt.GetGeneration(), 10) + "." + strconv.Itoa(int(attempt.GetCount()))
}
