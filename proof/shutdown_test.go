package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/rest"
)

// readyInterval is how often the load balancer asks for the readiness of the entries.
const readyInterval = 200 * time.Millisecond

// balancer is a load balancer: it asks every entry for its readiness and sends calls to ready ones only.
type balancer struct {
	ready []atomic.Bool
	next  atomic.Int64
}

// newBalancer polls until the test ends.
func newBalancer(s *suite) *balancer {
	b := &balancer{
		ready: make([]atomic.Bool, len(s.cluster.Entries)),
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan struct{})
	s.t.Cleanup(func() {
		cancel()
		<-ended
	})
	b.poll(ctx, s)
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			s.clock.Sleep(readyInterval)
			b.poll(ctx, s)
		}
	}()
	return b
}

func (b *balancer) poll(ctx context.Context, s *suite) {
	ctx, cancel := context.WithTimeout(ctx, readyInterval)
	defer cancel()
	var polls sync.WaitGroup
	for i, entry := range s.cluster.Entries {
		polls.Go(func() {
			client := rest.New(rest.Config{
				Address: entry.Admin,
			})
			b.ready[i].Store(client.Do(ctx, http.MethodGet, "/readyz", nil, nil) == nil)
		})
	}
	polls.Wait()
}

// choose returns the next ready entry.
func (b *balancer) choose(last int) int {
	for range b.ready {
		entry := int(b.next.Add(1)) % len(b.ready)
		if b.ready[entry].Load() {
			return entry
		}
	}
	return last
}

// TestShutdown guards against requests and gangs that a graceful shutdown of an entry or agent interrupts, and against
// a gang that starts a second time because its entry was shut down.
func TestShutdown(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	l.call = 15 * time.Second
	l.choose = newBalancer(s).choose
	stop, stopped := make(chan struct{}), make(chan struct{})
	go l.stream(stop, stopped)
	for entry, process := range s.cluster.Entries {
		gang := l.submitTo(entry, banquet(fmt.Sprintf("long-gang-%d", entry), entry%2 == 0, 8*time.Second))
		s.awaitState(entry, gang.workspace, gang.submission.ID, callerclient.StateRunning, few)
		require.Zero(t, process.Terminate())
		process.Restart()
		s.ready(entry)
	}
	for _, agent := range s.cluster.Agents {
		require.Zero(t, agent.Terminate())
		agent.Restart()
		s.await(few, func() bool { return s.announced(0) == len(s.cluster.Agents) }, agent.Name+" is back")
	}
	close(stop)
	<-stopped
	l.check()
	for _, job := range l.jobs {
		require.Equal(t, callerclient.StateDone, job.last.State, "%s %v", job.submission.ID, job.last.Reasons)
		require.Empty(t, job.broken, job.submission.ID)
		require.Zero(t, job.unaccepted, job.submission.ID)
	}
	runs := completed(s.harness.Events())
	for entry := range s.cluster.Entries {
		id := fmt.Sprintf("long-gang-%d", entry)
		require.Equal(t, 2, runs[id], "%s started again", id)
	}
}

// stream submits requests, half of which must not run twice, and now and then a gang.
func (l *load) stream(stop <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	for at := 0; ; at++ {
		select {
		case <-stop:
			return
		case <-l.suite.clock.After(25 * time.Millisecond):
		}
		l.submit(0, quote(fmt.Sprintf("stream-%d", at), at%2 == 0, time.Duration(20+at%5*100)*time.Millisecond))
		if at%40 == 0 {
			l.submit(0, banquet(fmt.Sprintf("stream-gang-%d", at), at%80 == 0, 200*time.Millisecond))
		}
	}
}

// submitTo submits to one entry, which then owns the job; the caller asks for its end as all callers do.
func (l *load) submitTo(entry int, submission callerclient.Submission) *asked {
	l.suite.t.Helper()
	job := l.add(submission)
	found, err := l.suite.caller(entry, job.workspace).Submit(l.suite.t.Context(), submission, 0)
	require.NoError(l.suite.t, err)
	job.told(found, period{})
	l.ask(entry, job)
	return job
}

// announced returns how many agents take new work, as an entry knows it.
func (s *suite) announced(entry int) int {
	workers, err := s.admin(entry).Workers(s.t.Context())
	if err != nil {
		return 0
	}
	count := 0
	for _, worker := range workers {
		if worker.State == "ready" {
			count++
		}
	}
	return count
}
