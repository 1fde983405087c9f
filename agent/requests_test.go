package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/peer/peerpb"
)

func serveOf(job string, count int32) *peerpb.Serve {
	return &peerpb.Serve{
		Job: &peerpb.Job{
			Id:      job,
			Payload: []byte(job),
		},
		Attempt: tryNumber(count),
	}
}

func (s *system) serve(a *Agent, serve *peerpb.Serve) *peerpb.ServeReply {
	return a.handle(s.t.Context(), &peerpb.Request{
		Kind: &peerpb.Request_Serve{
			Serve: serve,
		},
	}).GetServe()
}

func (s *system) query(a *Agent) *peerpb.QueryReply {
	return a.handle(s.t.Context(), &peerpb.Request{
		Kind: &peerpb.Request_Query{
			Query: &peerpb.Query{
				Job:     "job",
				Attempt: tryNumber(1),
			},
		},
	}).GetQuery()
}

// serveLater serves in the background and returns the channel of the reply.
func (s *system) serveLater(a *Agent, serve *peerpb.Serve) <-chan *peerpb.ServeReply {
	reply := make(chan *peerpb.ServeReply, 1)
	go func() { reply <- s.serve(a, serve) }()
	synctest.Wait()
	return reply
}

// TestServeOnce guards against a request that runs twice, and against callers that get different answers.
func TestServeOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		again func(s *system, a *Agent, b *fakeBackend) *peerpb.ServeReply
	}{
		{
			name: "sent twice at the same time",
			again: func(s *system, a *Agent, _ *fakeBackend) *peerpb.ServeReply {
				first, second := s.serveLater(a, serveOf("job", 1)), s.serveLater(a, serveOf("job", 1))
				<-first
				return <-second
			},
		},
		{
			name: "sent again after the answer",
			again: func(s *system, a *Agent, _ *fakeBackend) *peerpb.ServeReply {
				s.serve(a, serveOf("job", 1))
				return s.serve(a, serveOf("job", 1))
			},
		},
		{
			name: "newer attempt of a request that must run at most once",
			again: func(s *system, a *Agent, _ *fakeBackend) *peerpb.ServeReply {
				first, second := s.serveLater(a, serveOf("job", 1)), s.serveLater(a, serveOf("job", 2))
				<-first
				return <-second
			},
		},
		{
			name: "answer of the backend server lost",
			again: func(s *system, a *Agent, b *fakeBackend) *peerpb.ServeReply {
				b.set(func() { b.lose = errLost })
				return s.serve(a, serveOf("job", 1))
			},
		},
		{
			name: "asked after while it runs and at the end",
			again: func(s *system, a *Agent, _ *fakeBackend) *peerpb.ServeReply {
				first := s.serveLater(a, serveOf("job", 1))
				require.True(s.t, s.query(a).GetRunning())
				<-first
				return s.query(a).GetResult()
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(s *system, a *Agent, _ *fakeWorker, b *fakeBackend) {
				reply := test.again(s, a, b)
				require.Equal(t, "job", string(reply.GetAnswer().GetBody()))
				require.Equal(t, 1, b.ran("job"))
			})
		})
	}
}

// TestServeAfterRestart guards against a request that is forgotten or run again when the agent was restarted.
func TestServeAfterRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		w, b := newFakeWorker(s), newFakeBackend(s)
		a, stop := s.start("worker-0", w, b)
		b.set(func() { b.lose = errLost })
		reply := s.serveLater(a, serveOf("job", 1))
		stop()
		require.Nil(t, <-reply, "no answer may look like a refusal")
		a, stop = s.start("worker-0", w, b)
		defer stop()
		require.Equal(t, "job", string(s.serve(a, serveOf("job", 1)).GetAnswer().GetBody()))
		require.Equal(t, 1, b.ran("job"))
		s.clock.Sleep(serveReportDelay + time.Second)
		require.NotEmpty(t, s.reportsOf("job"), "reported because nobody acknowledged it")
	})
}

// TestServeRefused guards against refusals of requests that ran or may still run, and against work that is started
// although it must not be.
func TestServeRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(s *system, a *Agent, b *fakeBackend)
		serve  *peerpb.Serve
		reason string
	}{
		{
			name:   "backend server refuses",
			before: func(_ *system, _ *Agent, b *fakeBackend) { b.set(func() { b.reject = errRejected }) },
			reason: "rejected",
		},
		{
			name: "backend server leaving",
			before: func(s *system, _ *Agent, b *fakeBackend) {
				b.set(func() { b.leaving = true })
				s.clock.Sleep(time.Second)
			},
			reason: "the backend server is leaving",
		},
		{
			name: "asked after before it arrived",
			before: func(s *system, a *Agent, _ *fakeBackend) {
				require.False(s.t, s.query(a).GetKnown())
			},
			reason: "attempt 7.1 was settled before",
		},
		{
			name: "zone taken out while it waits in the queue",
			before: func(s *system, a *Agent, _ *fakeBackend) {
				for i := range DefaultSlots {
					s.serveLater(a, serveOf(fmt.Sprintf("first-%d", i), 1))
				}
				s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(2, "out", 0) })
			},
			reason: "is not in service in revision 2",
		},
		{
			name: "deadline passes in the queue",
			before: func(s *system, a *Agent, _ *fakeBackend) {
				for i := range DefaultSlots {
					s.serveLater(a, serveOf(fmt.Sprintf("first-%d", i), 1))
				}
			},
			serve: &peerpb.Serve{
				Job: &peerpb.Job{
					Id: "job",
					// synctest's time starts at midnight UTC 2000-01-01.
					Deadline: timestamppb.New(time.Date(2000, 1, 1, 0, 0, 0, 5e8, time.UTC)),
				},
				Attempt: tryNumber(1),
			},
			reason: "wait for a slot: context deadline exceeded",
		},
		{
			name: "queue full",
			before: func(s *system, a *Agent, _ *fakeBackend) {
				for i := range DefaultSlots + DefaultQueue {
					s.serveLater(a, serveOf(fmt.Sprintf("first-%d", i), 1))
				}
			},
			reason: "the queue is full",
		},
		{
			name: "answers not acknowledged",
			before: func(_ *system, a *Agent, _ *fakeBackend) {
				for a.answers.size() < maxAnswersBytes-maxAnswerBytes-answerOverhead {
					require.NoError(t, a.answers.reserve())
				}
			},
			reason: errAnswersFull.Error(),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(s *system, a *Agent, _ *fakeWorker, b *fakeBackend) {
				test.before(s, a, b)
				serve := test.serve
				if serve == nil {
					serve = serveOf("job", 1)
				}
				reply := s.serve(a, serve)
				require.True(t, reply.GetRefused())
				require.Contains(t, reply.GetReason(), test.reason)
				again := s.serve(a, serve)
				require.True(t, again.GetRefused(), "a refused attempt stays refused")
				require.Zero(t, b.ran("job"))
				s.clock.Sleep(20 * time.Second)
			})
		})
	}
}

// TestServeUnknownOutcome guards against a request of unknown outcome that is run again or called not run.
func TestServeUnknownOutcome(t *testing.T) {
	bubble(t, func(s *system, a *Agent, _ *fakeWorker, b *fakeBackend) {
		b.set(func() { b.reject = errLost })
		reply := s.serve(a, serveOf("job", 1))
		require.False(t, reply.GetRefused())
		require.True(t, reply.GetFailed())
		require.Contains(t, reply.GetReason(), "may have run")
		s.acknowledge(a, 0)
		require.False(t, s.serve(a, serveOf("job", 1)).GetRefused())
		require.False(t, s.serve(a, serveOf("job", 2)).GetRefused())
	})
}

// TestSmallRequestsKeepSlots guards against small requests that wait for large ones, and against large ones that
// never run while small ones arrive.
func TestSmallRequestsKeepSlots(t *testing.T) {
	bubble(t, func(s *system, a *Agent, _ *fakeWorker, b *fakeBackend) {
		for i := range 10 {
			large := serveOf(fmt.Sprintf("large-%d", i), 1)
			large.Large = true
			s.serveLater(a, large)
		}
		b.set(func() { require.Equal(t, DefaultSlots-reservedSlots, b.most) })
		began := s.clock.Now()
		s.serve(a, serveOf("small", 1))
		require.Equal(t, time.Second, s.clock.Since(began), "starts at once")
		for i := range 30 {
			s.serveLater(a, serveOf(fmt.Sprintf("small-%d", i), 1))
		}
		s.clock.Sleep(3 * time.Second)
		require.Equal(t, 1, b.ran("large-9"))
		s.clock.Sleep(20 * time.Second)
	})
}
