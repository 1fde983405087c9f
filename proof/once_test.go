package proof

import (
	"fmt"
	"testing"
	"time"

	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/logserver"
	"radishpath.example/radishpath/standin/workerserver"
)

// pauseTime is longer than every lease and every bound of "a few seconds".
const pauseTime = few + 500*time.Millisecond

// TestOnceOwnerKilled guards against an adopter that runs a job again that the killed owner had started.
func TestOnceOwnerKilled(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	for entry, owner := range s.cluster.Entries {
		l.stagger(entry, fmt.Sprintf("killed-%d", entry))
		owner.Restart()
		s.ready(entry)
	}
	l.requireUndisturbed()
	l.check()
}

// TestOnceOwnerPaused guards against an owner that goes on with jobs that were adopted while it was paused.
func TestOnceOwnerPaused(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	for entry, owner := range s.cluster.Entries {
		l.stagger(entry, fmt.Sprintf("paused-%d", entry))
		owner.Stop()
		s.clock.Sleep(pauseTime)
		owner.Continue()
	}
	l.requireUndisturbed()
	l.check()
}

// TestOnceAgentFails guards against a second run after an agent was restarted or paused, or after a backend server's
// answer was lost.
func TestOnceAgentFails(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	for _, worker := range s.cluster.Workers {
		worker.SetFaults(workerserver.Faults{
			Lost: 4,
		})
	}
	l.stagger(0, "answers-lost")
	for i, agent := range s.cluster.Agents[:2] {
		l.stagger(i, fmt.Sprintf("agent-killed-%d", i))
		agent.Restart()
	}
	paused := s.cluster.Agents[2]
	l.stagger(2, "agent-paused")
	paused.Stop()
	s.clock.Sleep(pauseTime)
	paused.Continue()
	l.requireUndisturbed()
	l.check()
}

// TestOnceLogFails guards against a second run when an append's response is lost, when the log is unavailable between
// the records of a job, and when one id is submitted to all entries at once and again later.
func TestOnceLogFails(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	s.cluster.Log.SetFaults(logserver.Faults{
		Lost: 20,
	})
	l.stagger(0, "append-lost")
	l.stagger(1, "unavailable")
	s.during(logserver.Faults{
		Unavailable: "close",
	}, 3*time.Second, func() {})
	l.wait()
	for round := range 2 {
		for i := range 10 {
			id := fmt.Sprintf("same-quote-%d", i)
			if round == 0 {
				l.add(quote(id, false, 20*time.Millisecond))
				l.add(banquet(fmt.Sprintf("same-gang-%d", i), false, 20*time.Millisecond))
			}
		}
		for _, job := range l.jobs {
			for entry := range s.cluster.Entries {
				l.ask(entry, job)
			}
		}
		l.wait()
	}
	l.requireUndisturbed()
	l.check()
}
