package proof

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/workerserver"
)

const (
	// callLimit is after how long a caller gives an entry up and asks another one.
	callLimit = 2 * time.Second
	// askLimit is how long a caller asks for the end of its job.
	askLimit = 40 * time.Second
	askPause = 50 * time.Millisecond
)

// load is a set of concurrent callers and what they were told.
type load struct {
	suite  *suite
	client *http.Client
	// limit is how long a caller asks for the end of its job.
	limit time.Duration
	// call is after how long a caller gives up waiting for an entry.
	call time.Duration
	// insist makes callers submit again after a reply that the job was not accepted.
	insist bool
	// choose returns the entry for a caller's next call; nil takes one after the other.
	choose func(last int) int

	callers sync.WaitGroup
	mu      sync.Mutex
	jobs    []*asked
}

// asked is a job and what its caller was told.
type asked struct {
	submission callerclient.Submission
	workspace  string
	// expected is the answer of a job that is done; empty means the job's id and the number 1.
	expected string

	mu sync.Mutex
	// last is the last reply with a state.
	last callerclient.Job
	// answers are the different answers of replies that the job is done.
	answers []string
	// maybe says that an entry may have accepted the job.
	maybe bool
	// unaccepted counts the replies that the job was not accepted.
	unaccepted int
	// faults are replies that no caller may get.
	faults []string
	// broken are the calls without a reply.
	broken []string
	// took is the longest time that a caller waited for the end.
	took time.Duration
	// unknown are the calls that were answered with the state unknown.
	unknown []period
}

// period is a time from one moment to another.
type period struct {
	from  time.Time
	until time.Time
}

// newLoad guarantees the callers' workspace three workers, because gangs that must not run twice never borrow, and
// returns a load on the suite.
func newLoad(s *suite) *load {
	s.publish(0, document(nil, "1x8@worker, 1x8@worker, 1x8@worker"))
	transport := &http.Transport{
		MaxIdleConnsPerHost: 100,
	}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &load{
		suite: s,
		client: &http.Client{
			Transport: transport,
		},
		limit: askLimit,
		call:  callLimit,
	}
}

// quote returns a request whose answer is its id and the number of the run at its backend server.
func quote(id string, idempotent bool, d time.Duration) callerclient.Submission {
	return callerclient.Submission{
		ID:         id,
		Idempotent: idempotent,
		Payload:    work(d, ""),
	}
}

// banquet returns a gang of two members on accelerators of one zone, whose members answer with its id.
func banquet(id string, idempotent bool, d time.Duration) callerclient.Submission {
	return callerclient.Submission{
		ID:           id,
		Idempotent:   idempotent,
		Members:      2,
		Accelerators: 1,
		Scope:        "zone",
		Payload:      work(d, id),
	}
}

// add registers a job.
func (l *load) add(submission callerclient.Submission) *asked {
	job := &asked{
		submission: submission,
		workspace:  workspaces[0],
		expected:   submission.ID + " 1",
	}
	if submission.Members > 1 {
		job.expected = fmt.Sprintf("[%q,%q]", submission.ID, submission.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, job)
	return job
}

// submit starts a caller that submits to an entry and asks until the job has ended.
func (l *load) submit(entry int, submission callerclient.Submission) *asked {
	job := l.add(submission)
	l.ask(entry, job)
	return job
}

// ask starts one more caller of a job.
func (l *load) ask(entry int, job *asked) {
	l.callers.Go(func() { l.follow(entry, job) })
}

// stagger submits requests and gangs that must not run twice so that, when it returns, they were submitted 0 to 60 ms
// ago.
func (l *load) stagger(entry int, prefix string) {
	const (
		span = 60 * time.Millisecond
		step = 2 * time.Millisecond
	)
	for age := span; age > 0; age -= step {
		at := int(age / step)
		l.submit(entry, quote(fmt.Sprintf("%s-quote-%d", prefix, at), false, 10*time.Millisecond))
		if at%5 == 0 {
			l.submit(entry, banquet(fmt.Sprintf("%s-gang-%d", prefix, at), false, 50*time.Millisecond))
		}
		l.suite.clock.Sleep(step)
	}
}

// follow is a caller: it submits, and asks by id until the job has ended.
func (l *load) follow(entry int, job *asked) {
	clock := l.suite.clock
	begun := clock.Now()
	deadline := begun.Add(l.limit)
	accepted := false
	for clock.Now().Before(deadline) && l.suite.t.Context().Err() == nil {
		if l.choose != nil {
			entry = l.choose(entry)
		}
		asked := clock.Now()
		found, err := l.once(entry, job, accepted)
		entry = (entry + 1) % len(l.suite.cluster.Entries)
		if err == nil {
			accepted = true
			job.told(found, period{
				from:  asked,
				until: clock.Now(),
			})
			if found.Ended() {
				job.ended(clock.Since(begun))
				return
			}
		} else if !job.failed(err, &accepted) && !l.insist {
			return
		}
		clock.Sleep(askPause)
	}
}

// once makes one call.
func (l *load) once(entry int, job *asked, accepted bool) (callerclient.Job, error) {
	ctx, cancel := context.WithTimeout(l.suite.t.Context(), l.call)
	defer cancel()
	client := callerclient.New(callerclient.Config{
		Address: l.suite.cluster.Entries[entry].Caller,
		Token:   job.workspace + "-token",
		Client:  l.client,
	})
	if accepted {
		return client.Status(ctx, job.submission.ID, l.call/2)
	}
	return client.Submit(ctx, job.submission, l.call/2)
}

// ended notes how long a caller waited for the end.
func (a *asked) ended(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.took = max(a.took, took)
}

// told notes a reply with a state.
func (a *asked) told(found callerclient.Job, call period) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maybe = true
	if a.last.Ended() && a.last.State != "" && found.State != a.last.State && found.State != callerclient.StateUnknown {
		a.faults = append(a.faults, "told "+a.last.State+" and then "+found.State)
	}
	if found.State == callerclient.StateUnknown {
		a.unknown = append(a.unknown, call)
	}
	if found.State == callerclient.StateDone && !slices.Contains(a.answers, found.Answer) {
		a.answers = append(a.answers, found.Answer)
	}
	if a.last.State == "" || !a.last.Ended() {
		a.last = found
	}
}

// failed notes a call without a state and says whether the caller has to go on because the job may be accepted.
func (a *asked) failed(err error, accepted *bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reply *callerclient.Error
	switch {
	case !errors.As(err, &reply):
		a.maybe = true
		a.broken = append(a.broken, err.Error())
	case reply.Code == http.StatusNotFound && *accepted && a.last.State != callerclient.StateUnknown:
		a.faults = append(a.faults, "forgotten after it was "+a.last.State)
	case reply.Code == http.StatusNotFound:
		*accepted = false
	case *accepted:
	case reply.Code == http.StatusTooManyRequests, reply.Code == http.StatusServiceUnavailable:
		a.unaccepted++
	default:
		a.maybe = true
		a.faults = append(a.faults, err.Error())
	}
	return a.maybe
}

// notRun says whether the caller knows that the job did not run.
func (a *asked) notRun() bool {
	switch a.last.State {
	case "":
		return !a.maybe
	case callerclient.StateRefused:
		return true
	case callerclient.StateCancelled:
		return strings.Contains(strings.Join(a.last.Reasons, " "), "before it ran")
	default:
		return false
	}
}

// wait waits until all callers have their answer or gave up.
func (l *load) wait() {
	l.callers.Wait()
}

// check judges what the callers were told by the workers' records.
func (l *load) check() {
	t := l.suite.t
	t.Helper()
	l.wait()
	events := l.suite.harness.Events()
	runs := completed(events)
	once, never := map[string]bool{}, map[string]bool{}
	var faults []string
	states := map[string]int{}
	for _, job := range l.jobs {
		id := job.submission.ID
		states[job.last.State]++
		once[id] = !job.submission.Idempotent
		never[id] = job.notRun()
		for _, fault := range job.faults {
			faults = append(faults, id+": "+fault)
		}
		if fault := job.judge(runs[id]); fault != "" {
			faults = append(faults, id+": "+fault)
		}
	}
	slowest := slices.MaxFunc(l.jobs, func(a, b *asked) int { return cmp.Compare(a.took, b.took) })
	t.Logf("%d jobs ended: %v; the slowest, %s, after %s", len(l.jobs), states, slowest.submission.ID, slowest.took)
	require.NoError(t, harness.AtMostOnce(events, once))
	require.NoError(t, harness.NotRun(events, never))
	require.Empty(t, faults)
	jobs, err := l.suite.cluster.Log.Jobs(t.Context())
	require.NoError(t, err)
	require.NoError(t, harness.NoPartialGangs(events, harness.Members(jobs), gangLimit, l.suite.clock.Now()))
}

// judge returns what is wrong with the job's end, given how often members of it were completed.
func (a *asked) judge(completed int) string {
	switch {
	case len(a.answers) > 1:
		return fmt.Sprintf("two answers: %q", a.answers)
	case a.last.State == "" && a.maybe:
		return fmt.Sprintf("no reply: %v", a.broken)
	case a.last.State != "" && !a.last.Ended():
		return fmt.Sprintf("not ended: %s %v", a.last.State, a.last.Reasons)
	case a.last.State == callerclient.StateDone && a.last.Answer != a.expected && !a.submission.Idempotent:
		return fmt.Sprintf("answer %.100q", a.last.Answer)
	case a.last.State == callerclient.StateDone && completed < max(1, a.submission.Members):
		return fmt.Sprintf("done, but completed %d times", completed)
	default:
		return ""
	}
}

// completed counts the completed runs by job.
func completed(events []workerserver.Event) map[string]int {
	counts := map[string]int{}
	for _, event := range events {
		if event.Event == workerserver.EventEnd && event.State == "done" {
			counts[event.Job]++
		}
	}
	return counts
}

// requireUndisturbed guards against a deployment that keeps the invariants by running nothing.
func (l *load) requireUndisturbed() {
	l.suite.t.Helper()
	for entry := range l.suite.cluster.Entries {
		jobs := []*asked{
			l.submit(entry, quote(fmt.Sprintf("after-quote-%d", entry), false, 10*time.Millisecond)),
			l.submit(entry, banquet(fmt.Sprintf("after-gang-%d", entry), false, 10*time.Millisecond)),
		}
		l.wait()
		for _, job := range jobs {
			require.Equal(l.suite.t, callerclient.StateDone, job.last.State, "%s %v", job.submission.ID, job.last.Reasons)
		}
	}
}

// ready waits until an entry that was started again may get traffic.
func (s *suite) ready(entry int) {
	s.t.Helper()
	s.cluster.Entries[entry].AwaitReady(2 * few)
}
