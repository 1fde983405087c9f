package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

func tryNumber(count int32) *peerpb.Attempt {
	return &peerpb.Attempt{
		Generation: 7,
		Count:      count,
	}
}

func holdOf(job string, count int32, member int32, accelerators uint64, wanted int32) *peerpb.Hold {
	return &peerpb.Hold{
		Term: &peerpb.Term{
			Offset: 1,
		},
		Job: &peerpb.Job{
			Id:           job,
			Accelerators: wanted,
		},
		Attempt:      tryNumber(count),
		Member:       member,
		Accelerators: accelerators,
	}
}

// call sends a request to the agent and returns its verdict.
func (s *system) call(a *Agent, request *peerpb.Request) *peerpb.Verdict {
	return a.handle(s.t.Context(), request).GetVerdict()
}

func (s *system) hold(a *Agent, hold *peerpb.Hold) *peerpb.Verdict {
	return s.call(a, &peerpb.Request{
		Kind: &peerpb.Request_Hold{
			Hold: hold,
		},
	})
}

func (s *system) commit(a *Agent, job string, member int32, agents []string) *peerpb.Verdict {
	commit := &peerpb.Commit{
		Job:     job,
		Attempt: tryNumber(1),
		Member:  member,
	}
	for _, id := range agents {
		commit.Members = append(commit.Members, &peerpb.Member{
			Agent:   id,
			Address: id,
		})
	}
	return s.call(a, &peerpb.Request{
		Kind: &peerpb.Request_Commit{
			Commit: commit,
		},
	})
}

func (s *system) startTask(a *Agent, job string, member int32) *peerpb.Verdict {
	return s.call(a, &peerpb.Request{
		Kind: &peerpb.Request_Start{
			Start: &peerpb.StartTask{
				Job:     job,
				Attempt: tryNumber(1),
				Member:  member,
			},
		},
	})
}

func (s *system) acknowledge(a *Agent, member int32) {
	require.True(s.t, s.call(a, &peerpb.Request{
		Kind: &peerpb.Request_Acknowledge{
			Acknowledge: &peerpb.Acknowledge{
				Job:     "job",
				Attempt: tryNumber(1),
				Member:  member,
			},
		},
	}).GetOk())
}

// prepare holds and commits the first attempt of a job of one member per agent.
func (s *system) prepare(agents ...*Agent) {
	s.t.Helper()
	var ids []string
	for _, a := range agents {
		ids = append(ids, a.config.ID)
	}
	for i, a := range agents {
		require.Empty(s.t, s.hold(a, holdOf("job", 1, int32(i), 1, 1)).GetReason())
		require.Empty(s.t, s.commit(a, "job", int32(i), ids).GetReason())
	}
}

// bubble runs a test in a synctest bubble with one agent that has had its first heartbeat answered.
func bubble(t *testing.T, test func(s *system, a *Agent, w *fakeWorker, b *fakeBackend)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		w, b := newFakeWorker(s), newFakeBackend(s)
		a, stop := s.start("worker-0", w, b)
		defer stop()
		test(s, a, w, b)
	})
}

// TestStartRefused guards against a start in a zone out of service, without a recent confirmation, by a paused
// process, by an agent that is leaving, after a newer attempt, or after a release.
func TestStartRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(s *system, a *Agent, w *fakeWorker, b *fakeBackend)
		reason string
	}{
		{
			name: "paused between the checks and the start",
			before: func(s *system, _ *Agent, w *fakeWorker, _ *fakeBackend) {
				w.beforeStart = func() { s.clock.Sleep(startLease) }
			},
			reason: "rejected",
		},
		{
			name: "zone taken out after the hold",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(2, "out", 0) })
				s.clock.Sleep(time.Second)
			},
			reason: `availability zone "curepipe" is not in service in revision 2`,
		},
		{
			name: "no recent confirmation",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.setCut(entryAddress, true)
				s.clock.Sleep(maxConfirmationAge)
			},
			reason: "the document was last confirmed",
		},
		{
			name: "confirmations that are old on arrival",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply {
					return confirmation(1, "in", 2*time.Second)
				})
				s.clock.Sleep(2600 * time.Millisecond)
			},
			reason: "",
		},
		{
			name: "confirmations that get too old on their way",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply {
					return confirmation(1, "in", 2200*time.Millisecond)
				})
				s.mu.Lock()
				s.delay = 900 * time.Millisecond
				s.mu.Unlock()
				s.clock.Sleep(4 * time.Second)
				for last := s.lastAnnounce(); last == s.lastAnnounce(); {
					s.clock.Sleep(time.Millisecond)
				}
			},
			reason: "the document was last confirmed",
		},
		{
			name: "confirmations of a document that can't be read",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(2, "broken", 0) })
				s.clock.Sleep(maxConfirmationAge)
			},
			reason: "the document was last confirmed",
		},
		{
			name: "backend server leaving",
			before: func(s *system, _ *Agent, _ *fakeWorker, b *fakeBackend) {
				b.set(func() { b.leaving = true })
				s.clock.Sleep(time.Second)
			},
			reason: "the backend server is leaving",
		},
		{
			name: "agent leaving",
			before: func(_ *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
				a.gate.leave()
			},
			reason: "the agent is leaving",
		},
		{
			name: "newer attempt known",
			before: func(s *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
				require.Empty(s.t, s.hold(a, holdOf("job", 2, 0, 2, 1)).GetReason())
			},
			reason: "attempt 7.1 is older than 7.2",
		},
		{
			name: "commitment lapsed",
			before: func(s *system, _ *Agent, _ *fakeWorker, _ *fakeBackend) {
				s.clock.Sleep(maxCommitment)
			},
			reason: "no commitment",
		},
		{
			name: "start lost on the way to the worker",
			before: func(_ *system, _ *Agent, w *fakeWorker, _ *fakeBackend) {
				w.afterStart = func() error {
					clear(w.tasks)
					w.starts = 0
					return errLost
				}
			},
			reason: "the start did not reach the worker",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(s *system, a *Agent, w *fakeWorker, b *fakeBackend) {
				s.prepare(a)
				test.before(s, a, w, b)
				verdict := s.startTask(a, "job", 0)
				require.Contains(t, verdict.GetReason(), test.reason)
				require.Equal(t, test.reason == "", verdict.GetOk())
				if !verdict.GetOk() {
					require.Zero(t, w.starts)
				}
			})
		})
	}
}

// TestStartWithLostReply guards against a task that runs although its start was refused, or twice.
func TestStartWithLostReply(t *testing.T) {
	bubble(t, func(s *system, a *Agent, w *fakeWorker, _ *fakeBackend) {
		s.prepare(a)
		w.afterStart = func() error { return errLost }
		require.True(t, s.startTask(a, "job", 0).GetOk())
		require.True(t, s.startTask(a, "job", 0).GetOk())
		s.clock.Sleep(10 * time.Second)
		require.Equal(t, StateRunning, w.state("job.7.1.0"))
		require.Equal(t, 1, w.starts)
	})
}

// TestLostMemberEndsGang guards against a gang of which only some members go on running (invariant 2).
func TestLostMemberEndsGang(t *testing.T) {
	for _, test := range []struct {
		name   string
		victim int
		cut    bool
		down   bool
	}{
		{
			name: "agent and worker of the root",
			cut:  true,
			down: true,
		},
		{
			name:   "agent of an inner member",
			victim: 1,
			cut:    true,
		},
		{
			name:   "agent and worker of a leaf",
			victim: 17,
			cut:    true,
			down:   true,
		},
		{
			name:   "worker of a leaf",
			victim: 17,
			down:   true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newSystem(t)
				var agents []*Agent
				var workers []*fakeWorker
				for i := range 19 {
					w := newFakeWorker(s)
					a, stop := s.start(fmt.Sprintf("worker-%d", i), w, newFakeBackend(s))
					defer stop()
					agents, workers = append(agents, a), append(workers, w)
				}
				s.prepare(agents...)
				for i, a := range agents {
					require.Empty(t, s.startTask(a, "job", int32(i)).GetReason())
				}
				s.clock.Sleep(30 * time.Second)
				for i, w := range workers {
					require.Equal(t, StateRunning, w.state(fmt.Sprintf("job.7.1.%d", i)))
				}
				s.setCut(agents[test.victim].config.ID, test.cut)
				workers[test.victim].setDown(test.down)
				s.clock.Sleep(4500 * time.Millisecond)
				for i, w := range workers {
					require.Equal(t, StateLapsed, w.state(fmt.Sprintf("job.7.1.%d", i)), "member %d", i)
				}
			})
		})
	}
}

// TestDoneMemberKeepsGangAlive guards against a gang that is ended because one of its members is done before others.
func TestDoneMemberKeepsGangAlive(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		w0, w1 := newFakeWorker(s), newFakeWorker(s)
		a0, stop0 := s.start("worker-0", w0, newFakeBackend(s))
		defer stop0()
		a1, stop1 := s.start("worker-1", w1, newFakeBackend(s))
		defer stop1()
		s.prepare(a0, a1)
		require.True(t, s.startTask(a0, "job", 0).GetOk())
		require.True(t, s.startTask(a1, "job", 1).GetOk())
		require.NoError(t, w0.finish("job.7.1.0", StateDone, "half"))
		s.clock.Sleep(time.Minute)
		require.Equal(t, StateRunning, w1.state("job.7.1.1"))
		require.NoError(t, w1.finish("job.7.1.1", StateFailed, ""))
		s.clock.Sleep(time.Second)
		last := map[int32]bool{}
		for _, report := range s.reportsOf("job") {
			last[report.GetMember()] = report.GetFailed()
		}
		require.Equal(t, map[int32]bool{0: false, 1: true}, last)
		s.acknowledge(a0, 0)
		s.acknowledge(a1, 1)
		s.clock.Sleep(time.Second)
		require.Empty(t, a0.tasks.list())
		require.Empty(t, w1.state("job.7.1.1"), "removed from the worker")
	})
}

// TestReleaseCheckpoints guards against a reclaim that loses work or never frees the accelerators.
func TestReleaseCheckpoints(t *testing.T) {
	for _, test := range []struct {
		name  string
		hang  bool
		after time.Duration
		state string
	}{
		{
			name:  "checkpoint in time",
			after: time.Second,
			state: StateCheckpointed,
		},
		{
			name:  "checkpoint never ends",
			hang:  true,
			after: 6 * time.Second,
			state: StateStopped,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(s *system, a *Agent, w *fakeWorker, _ *fakeBackend) {
				if test.hang {
					a.tasks.worker.Checkpoint = func(context.Context, string) error { return nil }
				}
				s.prepare(a)
				require.True(t, s.startTask(a, "job", 0).GetOk())
				a.tasks.release(newKey("job", tryNumber(1), 0), true, 5*time.Second)
				s.clock.Sleep(test.after)
				require.Equal(t, test.state, w.state("job.7.1.0"))
				require.Equal(t, test.state == StateCheckpointed, s.reportsOf("job")[0].GetCheckpointed())
				require.Empty(t, s.hold(a, holdOf("next", 1, 0, 1, 1)).GetReason(), "accelerators are free")
			})
		})
	}
}

// TestPartialReleaseEndsGang guards against members that run on when their owner is gone after it released only some,
// and against members that end before their own checkpoint was due.
func TestPartialReleaseEndsGang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		w0, w1 := newFakeWorker(s), newFakeWorker(s)
		a0, stop0 := s.start("worker-0", w0, newFakeBackend(s))
		defer stop0()
		a1, stop1 := s.start("worker-1", w1, newFakeBackend(s))
		defer stop1()
		s.prepare(a0, a1)
		require.True(t, s.startTask(a0, "job", 0).GetOk())
		require.True(t, s.startTask(a1, "job", 1).GetOk())
		a1.tasks.release(newKey("job", tryNumber(1), 1), true, 10*time.Second)
		s.clock.Sleep(9 * time.Second)
		require.Equal(t, StateRunning, w0.state("job.7.1.0"))
		s.clock.Sleep(time.Second + 4500*time.Millisecond)
		require.Equal(t, StateLapsed, w0.state("job.7.1.0"))
	})
}

// TestRestartWithRunningTask guards against a restarted agent that renews what it can't watch, gives the accelerators
// away while the task still runs, says that a running task was refused, or loses an answer.
func TestRestartWithRunningTask(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		w, b := newFakeWorker(s), newFakeBackend(s)
		a, stop := s.start("worker-0", w, b)
		s.prepare(a)
		require.True(t, s.startTask(a, "job", 0).GetOk())
		require.Empty(t, s.hold(a, holdOf("done", 1, 0, 2, 1)).GetReason())
		require.Empty(t, s.commit(a, "done", 0, []string{"worker-0"}).GetReason())
		require.True(t, s.startTask(a, "done", 0).GetOk())
		require.NoError(t, w.finish("done.7.1.0", StateDone, "answer"))
		stop()
		a, stop = s.start("worker-0", w, b)
		defer stop()
		require.True(t, s.startTask(a, "job", 0).GetOk())
		require.Contains(t, s.hold(a, holdOf("next", 1, 0, 1, 1)).GetReason(), "accelerators are taken")
		s.clock.Sleep(taskLease + 2*pollInterval)
		require.Equal(t, StateLapsed, w.state("job.7.1.0"))
		require.Empty(t, s.hold(a, holdOf("next", 1, 0, 1, 1)).GetReason())
		require.True(t, s.reportsOf("job")[0].GetLost())
		require.Equal(t, "answer", string(s.reportsOf("done")[0].GetAnswer().GetBody()))
	})
}

// TestLeaveWaits guards against an agent that is replaced while its tasks run or its answers are not acknowledged.
func TestLeaveWaits(t *testing.T) {
	bubble(t, func(s *system, a *Agent, w *fakeWorker, _ *fakeBackend) {
		s.prepare(a)
		require.True(t, s.startTask(a, "job", 0).GetOk())
		left := make(chan error, 1)
		go func() { left <- a.Leave(s.t.Context()) }()
		s.clock.Sleep(time.Minute)
		require.Equal(t, StateRunning, w.state("job.7.1.0"))
		require.True(t, s.lastAnnounce().GetLeaving())
		require.Contains(t, s.hold(a, holdOf("next", 1, 0, 2, 1)).GetReason(), "leaving")
		require.NoError(t, w.finish("job.7.1.0", StateDone, "answer"))
		s.clock.Sleep(time.Minute)
		require.Empty(t, left)
		require.Greater(t, len(s.reportsOf("job")), 1, "reported until acknowledged")
		s.acknowledge(a, 0)
		require.NoError(t, <-left)
	})
}
