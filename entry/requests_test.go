package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestCheckAnswer guards against giving a caller an answer that is crossed or not whole.
func TestCheckAnswer(t *testing.T) {
	tests := []struct {
		name   string
		change func(answer *peerpb.Answer)
		ok     bool
	}{
		{"whole", func(*peerpb.Answer) {}, true},
		{"another job's", func(a *peerpb.Answer) { a.Job = "other" }, false},
		{"truncated", func(a *peerpb.Answer) { a.Body = a.GetBody()[:2] }, false},
		{"wrong length", func(a *peerpb.Answer) { a.Length++ }, false},
		{"wrong checksum", func(a *peerpb.Answer) { a.Crc32C++ }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := answerOf("j", "price")
			test.change(answer)
			require.Equal(t, test.ok, checkAnswer("j", answer) == nil)
		})
	}
	require.Error(t, checkAnswer("j", nil))
}

// TestRequestOutcomes guards against a second run of a non-idempotent request and against a wrong outcome when an
// agent refuses, fails, garbles or loses an answer. Each step answers one call of Serve or Query; the last one repeats.
func TestRequestOutcomes(t *testing.T) {
	done := &peerpb.ServeReply{Answer: answerOf("j", "price")}
	crossed := &peerpb.ServeReply{Answer: answerOf("other", "price")}
	const lose = "lose"
	tests := []struct {
		name       string
		idempotent bool
		serve      []any
		query      []*peerpb.QueryReply
		outcome    peerpb.Outcome
		serves     int
	}{
		{"done", false, []any{done}, nil, peerpb.Outcome_OUTCOME_DONE, 1},
		{"refused, then done", false, []any{&peerpb.ServeReply{Refused: true}, done}, nil, peerpb.Outcome_OUTCOME_DONE, 2},
		{"call refused, then done", false, []any{&peerpb.Reply{Error: "no"}, done}, nil, peerpb.Outcome_OUTCOME_DONE, 2},
		{"failed", false, []any{&peerpb.ServeReply{Failed: true}}, nil, peerpb.Outcome_OUTCOME_FAILED, 1},
		{"crossed", false, []any{crossed}, nil, peerpb.Outcome_OUTCOME_LOST, 1},
		{"crossed, then done", true, []any{crossed, done}, nil, peerpb.Outcome_OUTCOME_DONE, 2},
		{"reply of another kind", false, []any{&peerpb.Reply{}}, nil, peerpb.Outcome_OUTCOME_LOST, 1},
		{"lost answer, found later", false, []any{lose}, []*peerpb.QueryReply{
			{Known: true, Running: true}, {Known: true, Result: done},
		}, peerpb.Outcome_OUTCOME_DONE, 1},
		{"lost call, never got", false, []any{lose, done}, []*peerpb.QueryReply{{}}, peerpb.Outcome_OUTCOME_DONE, 2},
		{"lost answer, refused there", false, []any{lose, done}, []*peerpb.QueryReply{
			{Known: true, Result: &peerpb.ServeReply{Refused: true}},
		}, peerpb.Outcome_OUTCOME_DONE, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			var serves, queries atomic.Int32
			var agent *fakeAgent
			agent = r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
				switch {
				case isQuery(request):
					return queryReply(test.query[min(int(queries.Add(1)), len(test.query))-1])
				case !isServe(request):
					return nil
				}
				switch step := test.serve[min(int(serves.Add(1)), len(test.serve))-1].(type) {
				case *peerpb.ServeReply:
					return serveReply(step)
				case *peerpb.Reply:
					return step
				default:
					agent.lose()
					return nil
				}
			})
			r.accept(testJob(func(job *peerpb.Job) { job.Idempotent = test.idempotent }), "self")
			end := r.outcome()
			require.Equal(t, test.outcome, end.GetOutcome(), end.GetReasons())
			require.Equal(t, test.serves, int(serves.Load()))
			require.Equal(t, !test.idempotent, r.state().Started)
			if test.outcome == peerpb.Outcome_OUTCOME_DONE {
				require.Equal(t, "price", string(end.GetAnswer().GetBody()))
			}
			counts := map[int32]bool{}
			for _, call := range agent.selected(isServe) {
				counts[call.GetServe().GetAttempt().GetCount()] = true
			}
			require.Len(t, counts, test.serves, "every call is an attempt of its own")
		})
	}
}

// TestRequestAgentRestarted guards against a second run when an agent restarts while it runs a request: it does not
// know the request any more, and the entry learns of the restart later than of that.
func TestRequestAgentRestarted(t *testing.T) {
	r := newRig(t)
	var agent *fakeAgent
	agent = r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
		if isQuery(request) {
			return queryReply(&peerpb.QueryReply{})
		}
		agent.setSilent(true)
		agent.lose()
		return nil
	})
	r.accept(testJob(nil), "self")
	r.until("the agent is asked", func() bool { return agent.count(isQuery) > 0 })
	r.pass(300 * time.Millisecond)
	agent.update(func(announce *peerpb.Announce) { announce.Boot = "second" })
	agent.setSilent(false)
	require.Equal(t, peerpb.Outcome_OUTCOME_LOST, r.outcome().GetOutcome())
	require.Equal(t, 1, agent.count(isServe))
}

// TestRequestAgentGone guards against waiting for an agent forever, and against calling its request not run.
func TestRequestAgentGone(t *testing.T) {
	r := newRig(t)
	var agent *fakeAgent
	agent = r.agent("w1", func(*peerpb.Request) *peerpb.Reply {
		agent.lose()
		return nil
	})
	r.accept(testJob(nil), "self")
	r.until("the agent is asked", func() bool { return agent.count(isQuery) > 0 })
	require.Nil(t, r.state().End)
	agent.setSilent(true)
	r.until("the agent expires", func() bool { return len(r.entry.fleet.expire(r.clock.Now())) > 0 })
	require.Equal(t, peerpb.Outcome_OUTCOME_LOST, r.outcome().GetOutcome())
}

// TestRequestAdopted guards against a second run of a request that another entry had started.
func TestRequestAdopted(t *testing.T) {
	tests := []struct {
		name    string
		agent   bool
		reply   *peerpb.QueryReply
		outcome peerpb.Outcome
	}{
		{"its agent has the answer", true, &peerpb.QueryReply{
			Known: true, Result: &peerpb.ServeReply{Answer: answerOf("j", "price")},
		}, peerpb.Outcome_OUTCOME_DONE},
		{"its agent does not know it", true, &peerpb.QueryReply{}, peerpb.Outcome_OUTCOME_LOST},
		{"its agent is gone", false, nil, peerpb.Outcome_OUTCOME_LOST},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			if test.agent {
				agent := r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
					if isQuery(request) {
						return queryReply(test.reply)
					}
					return nil
				})
				defer func() { require.Zero(t, agent.count(isServe)) }()
			}
			r.accept(testJob(nil), "other")
			generation := r.state().Generation
			r.record(startRecord(generation))
			r.record(adoptRecord("j", generation, "self"))
			require.Equal(t, test.outcome, r.outcome().GetOutcome())
		})
	}
}

// TestRequestAdoptedLater guards against a request that is called lost while an announced agent, which may hold its
// answer, does not answer yet.
func TestRequestAdoptedLater(t *testing.T) {
	r := newRig(t)
	begin := r.clock.Now()
	r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
		switch {
		case !isQuery(request):
			return nil
		case r.clock.Since(begin) < agentGone+2*time.Second:
			return &peerpb.Reply{Error: "still reading the backend server's requests"}
		default:
			return queryReply(&peerpb.QueryReply{
				Known: true, Result: &peerpb.ServeReply{Answer: answerOf("j", "price")},
			})
		}
	})
	r.accept(testJob(nil), "other")
	generation := r.state().Generation
	r.record(startRecord(generation))
	r.record(adoptRecord("j", generation, "self"))
	require.Equal(t, peerpb.Outcome_OUTCOME_DONE, r.outcome().GetOutcome())
}

func startRecord(generation int64) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Start{Start: &peerpb.Start{Job: "j", Generation: generation}}}
}

// TestRequestSuperseded guards against running a request whose start is void because another entry owns it.
func TestRequestSuperseded(t *testing.T) {
	r := newRig(t)
	r.accept(testJob(nil), "self")
	r.until("the job waits for a server", func() bool { _, owned := r.entry.owner.get("j"); return owned })
	r.record(adoptRecord("j", r.state().Generation, "other"))
	agent := r.agent("w1", nil)
	r.until("the runner ends", func() bool { _, owned := r.entry.owner.get("j"); return !owned })
	require.Zero(t, agent.count(isServe))
	require.False(t, r.state().Started)
}

// TestRequestNotStarted guards against running a request that was cancelled or is late while its start waits for the
// log, and against an outcome that contradicts the log.
func TestRequestNotStarted(t *testing.T) {
	none := func(*memoryLog) {}
	refuse := func(l *memoryLog) { l.refuse = true }
	drop := func(l *memoryLog) { l.drop = true }
	tests := []struct {
		name     string
		agent    bool
		outage   func(l *memoryLog)
		cancel   bool
		deadline bool
		outcome  peerpb.Outcome
	}{
		{"cancelled without a server", false, none, true, false, peerpb.Outcome_OUTCOME_CANCELLED},
		{"late without a server", false, none, false, true, peerpb.Outcome_OUTCOME_REFUSED},
		{"cancelled while the log refuses", true, refuse, true, false, peerpb.Outcome_OUTCOME_CANCELLED},
		{"late while the log refuses", true, refuse, false, true, peerpb.Outcome_OUTCOME_REFUSED},
		{"late while the start's outcome is unknown", true, drop, false, true, peerpb.Outcome_OUTCOME_LOST},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			var agent *fakeAgent
			job := testJob(nil)
			if test.deadline {
				job.Deadline = timestamppb.New(r.clock.Now().Add(2 * time.Second))
			}
			r.accept(job, "self")
			r.log.set(test.outage)
			agent = r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
				return serveReply(&peerpb.ServeReply{Answer: answerOf("j", "price")})
			})
			agent.setSilent(!test.agent)
			if !test.agent {
				r.entry.fleet.expire(r.clock.Now().Add(time.Hour))
			}
			r.pass(time.Second)
			if test.cancel {
				// The cancellation itself cannot be in the log while the log refuses, so it is passed on directly.
				r.entry.owner.cancel("j")
			}
			r.pass(2 * time.Second)
			r.log.set(func(l *memoryLog) { l.refuse, l.drop = false, false })
			end := r.outcome()
			require.Equal(t, test.outcome, end.GetOutcome(), end.GetReasons())
			require.Zero(t, agent.count(isServe))
		})
	}
}

// TestRequestBrokenAnswers guards against calling a server without a pause that never gives a whole answer.
func TestRequestBrokenAnswers(t *testing.T) {
	r := newRig(t)
	agent := r.agent("w1", func(*peerpb.Request) *peerpb.Reply {
		return serveReply(&peerpb.ServeReply{Answer: answerOf("other", "price")})
	})
	r.accept(testJob(func(job *peerpb.Job) { job.Idempotent = true }), "self")
	r.until("the agent is called", func() bool { return agent.count(isServe) > 0 })
	r.pass(2 * time.Second)
	require.LessOrEqual(t, agent.count(isServe), 12)
}

// TestRequestCrossedQuery guards against taking a reply of another kind for a denial, which would run a request again.
func TestRequestCrossedQuery(t *testing.T) {
	r := newRig(t)
	var agent *fakeAgent
	agent = r.agent("w1", func(request *peerpb.Request) *peerpb.Reply {
		if isServe(request) {
			agent.lose()
		}
		return &peerpb.Reply{}
	})
	r.accept(testJob(nil), "self")
	r.until("the agent is asked", func() bool { return agent.count(isQuery) > 3 })
	r.pass(time.Second)
	require.Equal(t, 1, agent.count(isServe))
	require.Nil(t, r.state().End)
}
