package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/logserver"
)

// TestOutage guards against an outage of the log that stops idempotent requests or jobs that were started, and against
// requests that run twice, or run after they were refused, because of it.
func TestOutage(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		faults logserver.Faults
		length time.Duration
	}{
		{
			name: "unavailable",
			faults: logserver.Faults{
				Unavailable: "close",
			},
			length: 20 * time.Second,
		},
		{
			name: "slow",
			faults: logserver.Faults{
				Reads:   rest.Duration(1500 * time.Millisecond),
				Appends: rest.Duration(1500 * time.Millisecond),
			},
			length: 10 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSuite(t, 4, harness.ClusterConfig{})
			l := newLoad(s)
			l.call = 15 * time.Second
			l.insist = true
			started := l.submitTo(0, banquet("started", false, 6*time.Second))
			s.awaitState(0, started.workspace, "started", callerclient.StateRunning, few)
			fault := s.during(test.faults, 0, func() { l.outage(test.length) })
			l.wait()
			require.Equal(t, callerclient.StateDone, started.last.State, started.last.Reasons)
			l.requireUndisturbed()
			l.check()
			l.requireOutage(fault)
		})
	}
}

// outage submits requests of all kinds at all entries for a time.
func (l *load) outage(length time.Duration) {
	until := l.suite.clock.Now().Add(length)
	for at := 0; l.suite.clock.Now().Before(until); at++ {
		entry := at % len(l.suite.cluster.Entries)
		l.submit(entry, quote(fmt.Sprintf("idempotent-%d", at), true, 20*time.Millisecond))
		l.submit(entry, quote(fmt.Sprintf("waits-%d", at), false, 20*time.Millisecond))
		late := quote(fmt.Sprintf("late-%d", at), false, 20*time.Millisecond)
		late.Deadline = "3s"
		l.submit(entry, late)
		l.suite.clock.Sleep(200 * time.Millisecond)
	}
}

// requireOutage guards against idempotent requests that did not run during the outage.
func (l *load) requireOutage(fault period) {
	t := l.suite.t
	t.Helper()
	ran := map[string]bool{}
	for _, event := range l.suite.harness.Events() {
		if event.Event == "start" && event.Time.Before(fault.until) {
			ran[event.Job] = true
		}
	}
	idempotent, during := 0, 0
	for _, job := range l.jobs {
		id := job.submission.ID
		if strings.HasPrefix(id, "waits-") {
			require.Contains(t, []string{callerclient.StateDone, callerclient.StateLost}, job.last.State, id)
		}
		if !job.submission.Idempotent {
			continue
		}
		require.Equal(t, callerclient.StateDone, job.last.State, "%s %v", id, job.last.Reasons)
		idempotent++
		if ran[id] {
			during++
		}
	}
	// An accept record is waited for at most 5 s, so requests of the last 5 s of 20 s may run after the outage.
	require.GreaterOrEqual(t, 4*during, 3*idempotent, "idempotent requests that ran during the outage")
}
