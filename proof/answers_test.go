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
	"radishpath.example/radishpath/standin/workerserver"
)

// maxAnswer is the size of the largest answers in these tests.
const maxAnswer = 300 << 10

// TestAnswersCrossed guards against answers that are cut short, mixed up or given to another caller, when they are
// long, late, or lost between a backend server and its agent, and when an agent restarts before its answers are
// acknowledged.
func TestAnswersCrossed(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	for i, worker := range s.cluster.Workers {
		worker.SetFaults(workerserver.Faults{
			Delay: rest.Duration(time.Duration(i) * 150 * time.Millisecond),
			Lost:  5,
		})
	}
	for i := range 120 {
		l.distinct(i%len(s.cluster.Entries), fmt.Sprintf("answer-%d", i), i%2 == 0, i*maxAnswer/120)
		if i == 40 {
			s.cluster.Agents[0].Restart()
		}
	}
	l.wait()
	l.requireSame()
	l.check()
	require.Positive(t, l.sizes(100<<10), "no long answer arrived")
}

// TestAnswersOwnerKilled guards against a second, different answer when the owner is killed and another entry is asked
// for the same id, and when the id is submitted again.
func TestAnswersOwnerKilled(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	l := newLoad(s)
	for _, worker := range s.cluster.Workers {
		worker.SetFaults(workerserver.Faults{
			Delay: rest.Duration(50 * time.Millisecond),
		})
	}
	for entry, owner := range s.cluster.Entries {
		for i := range 40 {
			// A short answer counts the runs at its backend server, so that a second run shows.
			id := fmt.Sprintf("owner-%d-%d", entry, i)
			if i%2 == 0 {
				l.submit(entry, quote(id, i%4 == 0, 20*time.Millisecond))
				continue
			}
			l.distinct(entry, id, i%4 == 1, i<<12)
		}
		s.clock.Sleep(30 * time.Millisecond)
		owner.Restart()
		s.ready(entry)
	}
	l.wait()
	l.requireSame()
	l.check()
}

// distinct submits a request whose answer no other request has.
func (l *load) distinct(entry int, id string, idempotent bool, size int) {
	answer := id + strings.Repeat(" "+id, size/(len(id)+1))
	job := l.add(callerclient.Submission{
		ID:         id,
		Idempotent: idempotent,
		Payload:    work(20*time.Millisecond, answer),
	})
	job.expected = answer
	l.ask(entry, job)
}

// requireSame submits every job that is done to every entry again and guards against another answer.
func (l *load) requireSame() {
	t := l.suite.t
	t.Helper()
	for _, job := range l.jobs {
		if job.last.State != callerclient.StateDone {
			continue
		}
		if counted := job.submission.ID + " 1"; job.expected == counted {
			// An idempotent request may have run before; its answer is that of one of its runs.
			require.Regexp(t, "^"+job.submission.ID+" [0-9]+$", job.last.Answer)
		} else if job.expected != job.last.Answer {
			require.FailNow(t, "another answer", "%s got %d bytes of %d: %.100q", job.submission.ID,
				len(job.last.Answer), len(job.expected), job.last.Answer)
		}
		for entry := range l.suite.cluster.Entries {
			l.ask(entry, job)
		}
	}
	l.wait()
	for _, job := range l.jobs {
		require.LessOrEqual(t, len(job.answers), 1, "%s has different answers", job.submission.ID)
	}
}

// sizes counts the answers that are at least so long.
func (l *load) sizes(atLeast int) int {
	count := 0
	for _, job := range l.jobs {
		if len(job.last.Answer) >= atLeast {
			count++
		}
	}
	return count
}
