package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/logserver"
)

// TestRefusalDeadline guards against a run after the caller was told that the deadline passed: while the log is
// unavailable or loses the responses to appends, while all zones are out of service, and while an owner is killed.
func TestRefusalDeadline(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	fault := s.during(logserver.Faults{
		Unavailable: "close",
	}, 3*time.Second, func() { l.deadlines("unavailable") })
	s.during(logserver.Faults{
		Lost: -1,
	}, 2*time.Second, func() { l.deadlines("lost") })
	l.wait()
	s.publish(0, document(zones, "1x8@worker"))
	l.deadlines("out")
	l.wait()
	require.Equal(t, callerclient.StateRefused, l.state("out-quote-1000"))
	s.publish(1, document(nil, "1x8@worker"))
	l.deadlines("killed")
	s.cluster.Entries[1].Restart()
	s.ready(1)
	l.requireUndisturbed()
	l.check()
	l.requireUnknownWithin(fault)
}

// TestRefusalCancel guards against a job that starts after its caller was told that it was cancelled before it ran.
func TestRefusalCancel(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	const wave = 40
	for round := range 3 {
		s.publish(0, document(zones, "1x8@worker"))
		jobs := []*asked{}
		for i := range wave {
			id := fmt.Sprintf("cancel-%d-%d", round, i)
			job := quote(id, i%2 == 0, 10*time.Millisecond)
			if i%4 == 1 {
				job = banquet(id, i%8 == 1, 10*time.Millisecond)
			}
			jobs = append(jobs, l.submit(i%len(s.cluster.Entries), job))
		}
		s.clock.Sleep(200 * time.Millisecond)
		for i, job := range jobs {
			if i == wave/4 {
				// The zones return during the wave, so that jobs start while they are cancelled.
				s.offer(0, document(nil, "1x8@worker"))
			}
			l.cancel((i+round)%len(s.cluster.Entries), job)
			if i == wave/2 && round == 2 {
				s.cluster.Entries[2].Kill()
			}
		}
		if round == 2 {
			s.cluster.Entries[2].Restart()
			s.ready(2)
		}
		l.wait()
	}
	l.requireUndisturbed()
	l.check()
}

// TestRefusalLimits guards against a run of a job that its caller was told was not accepted because of the limits of
// its workspace, or because its entry was shutting down.
func TestRefusalLimits(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	s.publish(0, strings.Replace(document(nil, "1x8@worker"), "reclaim = 3s", "reclaim = 3s\nqueue = 30\nrate = 60", 1))
	for i := range 300 {
		l.submit(i%len(s.cluster.Entries), quote(fmt.Sprintf("burst-%d", i), i%2 == 0, 100*time.Millisecond))
	}
	l.wait()
	refused := 0
	for _, job := range l.jobs {
		if job.last.State == "" && job.unaccepted > 0 {
			refused++
		}
	}
	require.Positive(t, refused, "the limits were not reached")
	require.Less(t, refused, len(l.jobs), "nothing was accepted")
	s.publish(0, document(nil, "1x8@worker"))
	terminated := make(chan int)
	go func() { terminated <- s.cluster.Entries[1].Terminate() }()
	for i := range 100 {
		l.submit(1, quote(fmt.Sprintf("leaving-%d", i), i%2 == 0, 10*time.Millisecond))
		s.clock.Sleep(30 * time.Millisecond)
	}
	require.Zero(t, <-terminated)
	s.cluster.Entries[1].Restart()
	s.ready(1)
	l.requireUndisturbed()
	l.check()
}

// deadlines submits requests and gangs whose deadlines pass in the next 1.5 s.
func (l *load) deadlines(prefix string) {
	const step = 50 * time.Millisecond
	for deadline := step; deadline <= 1500*time.Millisecond; deadline += step {
		entry := int(deadline/step) % len(l.suite.cluster.Entries)
		id := fmt.Sprintf("%s-quote-%d", prefix, deadline.Milliseconds())
		job := quote(id, false, 10*time.Millisecond)
		if entry == 0 {
			job = banquet(id, false, 10*time.Millisecond)
		}
		job.Deadline = deadline.String()
		l.submit(entry, job)
	}
}

// cancel cancels a job and notes what its caller is told.
func (l *load) cancel(entry int, job *asked) {
	l.callers.Go(func() {
		ctx, stop := context.WithTimeout(l.suite.t.Context(), l.call)
		defer stop()
		asked := l.suite.clock.Now()
		found, err := callerclient.New(callerclient.Config{
			Address: l.suite.cluster.Entries[entry].Caller,
			Token:   job.workspace + "-token",
			Client:  l.client,
		}).Cancel(ctx, job.submission.ID)
		if err != nil {
			// The state that the job's caller is told counts.
			return
		}
		job.told(found, period{
			from:  asked,
			until: l.suite.clock.Now(),
		})
	})
}

// offer publishes through an entry and does not wait until the document is in effect everywhere.
func (s *suite) offer(entry int, text string) {
	s.t.Helper()
	admin := s.admin(entry)
	current, err := admin.Document(s.t.Context())
	require.NoError(s.t, err)
	result, err := admin.Publish(s.t.Context(), operator.PublishRequest{
		Base: current.Revision,
		Text: text,
	})
	require.NoError(s.t, err)
	require.True(s.t, result.Applied, result.Reason)
}

// state returns the last state that a job's caller was told.
func (l *load) state(id string) string {
	for _, job := range l.jobs {
		if job.submission.ID == id {
			return job.last.State
		}
	}
	return ""
}

// requireUnknownWithin guards against callers that are told "unknown" while the log is available.
func (l *load) requireUnknownWithin(fault period) {
	l.suite.t.Helper()
	for _, job := range l.jobs {
		for _, call := range job.unknown {
			require.True(l.suite.t, call.from.Before(fault.until) && call.until.After(fault.from),
				"%s unknown from %s to %s", job.submission.ID, call.from, call.until)
		}
	}
}

// during sets faults of the log, does something, and removes the faults after a time.
func (s *suite) during(faults logserver.Faults, d time.Duration, do func()) period {
	s.t.Helper()
	fault := period{
		from: s.clock.Now(),
	}
	s.cluster.Log.SetFaults(faults)
	do()
	s.clock.Sleep(d)
	s.cluster.Log.SetFaults(logserver.Faults{})
	fault.until = s.clock.Now()
	return fault
}
