package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestHoldRefused guards against accelerators that are promised twice, a placer of a lower term, late commits and
// old attempts.
func TestHoldRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		try    func(s *system, a *Agent) *peerpb.Verdict
		reason string
	}{
		{
			name: "commit after the time limit",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.True(s.t, s.hold(a, holdOf("job", 1, 0, 1, 1)).GetOk())
				s.clock.Sleep(maxHold)
				return s.commit(a, "job", 0, []string{"worker-0"})
			},
			reason: "no hold",
		},
		{
			name: "repeated hold does not extend the time limit",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.True(s.t, s.hold(a, holdOf("job", 1, 0, 1, 1)).GetOk())
				s.clock.Sleep(maxHold - time.Second)
				require.True(s.t, s.hold(a, holdOf("job", 1, 0, 1, 1)).GetOk())
				s.clock.Sleep(time.Second)
				return s.commit(a, "job", 0, []string{"worker-0"})
			},
			reason: "no hold",
		},
		{
			name: "lower term after a higher one",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				higher := holdOf("job", 1, 0, 1, 1)
				higher.Term.Successor = 1
				require.True(s.t, s.hold(a, higher).GetOk())
				return s.hold(a, holdOf("other", 1, 0, 2, 1))
			},
			reason: "term 1.0 is lower than 1.1",
		},
		{
			name: "accelerator held by another job",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.True(s.t, s.hold(a, holdOf("job", 1, 0, 0b11, 2)).GetOk())
				return s.hold(a, holdOf("other", 1, 0, 0b110, 2))
			},
			reason: "accelerators are taken: 0x2",
		},
		{
			name: "accelerator of a running older attempt",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				s.prepare(a)
				require.True(s.t, s.startTask(a, "job", 0).GetOk())
				return s.hold(a, holdOf("job", 2, 0, 1, 1))
			},
			reason: "accelerators are taken: 0x1",
		},
		{
			name: "accelerator that the worker does not have",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				return s.hold(a, holdOf("job", 1, 0, 1<<8, 1))
			},
			reason: "are not among 8",
		},
		{
			name: "more cores than the worker has",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				first, second := holdOf("job", 1, 0, 1, 1), holdOf("other", 1, 0, 2, 1)
				first.Job.Cores, second.Job.Cores = 60, 60
				require.True(s.t, s.hold(a, first).GetOk())
				return s.hold(a, second)
			},
			reason: "120 cores would be used of 100",
		},
		{
			name: "older attempt",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.True(s.t, s.hold(a, holdOf("job", 2, 0, 1, 1)).GetOk())
				return s.hold(a, holdOf("job", 1, 0, 2, 1))
			},
			reason: "attempt 7.1 is older than 7.2",
		},
		{
			name: "older attempt of another member",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				s.prepare(a)
				require.True(s.t, s.hold(a, holdOf("job", 2, 3, 1, 1)).GetOk())
				return s.startTask(a, "job", 0)
			},
			reason: "attempt 7.1 is older than 7.2",
		},
		{
			name: "attempt that the owner was told is unknown",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.False(s.t, s.query(a).GetKnown())
				return s.hold(a, holdOf("job", 1, 0, 1, 1))
			},
			reason: "attempt 7.1 was settled before",
		},
		{
			name: "newer attempt replaces an older hold",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				require.True(s.t, s.hold(a, holdOf("job", 1, 0, 1, 1)).GetOk())
				return s.hold(a, holdOf("job", 2, 0, 1, 1))
			},
		},
		{
			name: "hold again after a release",
			try: func(s *system, a *Agent) *peerpb.Verdict {
				s.prepare(a)
				a.tasks.release(newKey("job", tryNumber(1), 0), false, 0)
				return s.hold(a, holdOf("job", 1, 0, 1, 1))
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(s *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
				verdict := test.try(s, a)
				require.Contains(t, verdict.GetReason(), test.reason)
				require.Equal(t, test.reason == "", verdict.GetOk())
			})
		})
	}
}
