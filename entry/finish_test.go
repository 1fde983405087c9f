package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/peer/peerpb"
)

func isHandover(request *peerpb.Request) bool { return request.GetHandover() != nil }

// peer starts a fake entry that takes ends over or refuses them.
func (r *rig) peer(id string, ok bool) *fakeAgent {
	a := r.agent(id, func(*peerpb.Request) *peerpb.Reply {
		return &peerpb.Reply{Kind: &peerpb.Reply_Verdict{Verdict: &peerpb.Verdict{Ok: ok}}}
	})
	a.setSilent(true)
	r.entry.fleet.expire(r.clock.Now().Add(time.Hour))
	r.hear(id, a)
	return a
}

// hear lets the entry receive a heartbeat of a peer.
func (r *rig) hear(id string, a *fakeAgent) {
	r.entry.members.observe(&peerpb.Heartbeat{
		Sender: &peerpb.EntryInfo{Id: id, Address: a.address},
	}, noTime, r.clock.Now())
}

func doneEnd(body string) *peerpb.End {
	return &peerpb.End{Job: "j", Generation: 7, Outcome: peerpb.Outcome_OUTCOME_DONE, Answer: answerOf("j", body)}
}

// TestFinishOutage guards against a caller without an answer, and against a second answer, when the log refuses or
// loses the end.
func TestFinishOutage(t *testing.T) {
	tests := []struct {
		name string
		set  func(log *memoryLog, outage bool)
		// shared says that the outage outlasts shareAfter.
		shared bool
	}{
		{"refuses", func(log *memoryLog, outage bool) { log.refuse = outage }, true},
		{"loses appends", func(log *memoryLog, outage bool) { log.drop = outage }, true},
		{"loses responses", func(log *memoryLog, outage bool) { log.lose = outage }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			peer := r.peer("other", true)
			job := testJob(func(job *peerpb.Job) { job.Idempotent = true })
			r.accept(job, "elsewhere")
			r.log.set(func(log *memoryLog) { test.set(log, true) })
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.entry.finish(r.ctx, job, doneEnd("price"))
			}()
			if test.shared {
				r.until("the caller is answered", func() bool {
					r.hear("other", peer)
					return peer.count(isHandover) > 0 && r.entry.localStatus("j").end != nil
				})
				require.Nil(t, r.state().End)
				r.log.set(func(log *memoryLog) { test.set(log, false) })
			}
			end := r.outcome()
			require.Equal(t, "price", string(end.GetAnswer().GetBody()))
			require.Equal(t, peerpb.Outcome_OUTCOME_DONE, end.GetOutcome())
			r.until("finish returns", func() bool {
				select {
				case <-done:
					return true
				default:
					return false
				}
			})
		})
	}
}

// TestFinishNeverStarted guards against telling a caller that a job did not run after a start was recorded.
func TestFinishNeverStarted(t *testing.T) {
	tests := []struct {
		name    string
		started bool
		outcome peerpb.Outcome
	}{
		{"not started", false, peerpb.Outcome_OUTCOME_REFUSED},
		{"started", true, peerpb.Outcome_OUTCOME_LOST},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			job := testJob(nil)
			r.accept(job, "elsewhere")
			generation := r.state().Generation
			if test.started {
				r.record(startRecord(generation))
			}
			go r.entry.finish(r.ctx, job, &peerpb.End{
				Job: "j", Generation: generation, Outcome: peerpb.Outcome_OUTCOME_REFUSED, NeverStarted: true,
			})
			require.Equal(t, test.outcome, r.outcome().GetOutcome())
		})
	}
}

// TestShareEnd guards against showing an end to a caller that could be lost with this entry.
func TestShareEnd(t *testing.T) {
	tests := []struct {
		name   string
		peers  []bool
		silent bool
		shared bool
	}{
		{"no other entry", nil, false, true},
		{"one takes it", []bool{true}, false, true},
		{"one of two takes it", []bool{false, true}, false, true},
		{"all refuse", []bool{false, false}, false, false},
		{"others are gone", []bool{true}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			for at, ok := range test.peers {
				r.peer([]string{"b", "c"}[at], ok)
			}
			if test.silent {
				r.clock.Advance(time.Minute)
			}
			require.Equal(t, test.shared, r.entry.shareEnd(r.ctx, testJob(nil), doneEnd("price")))
			_, kept := r.entry.handovers.get("j")
			require.True(t, kept)
		})
	}
}

// TestHandovers guards against replacing the end that a caller was shown, and against keeping ends forever.
func TestHandovers(t *testing.T) {
	h := newHandovers()
	carry := func(end *peerpb.End) *peerpb.Handover {
		return &peerpb.Handover{Jobs: []*peerpb.Carry{{Job: testJob(nil), End: end}}}
	}
	h.add(carry(nil))
	_, ok := h.get("j")
	require.False(t, ok, "a job without an end")
	h.add(carry(doneEnd("first")))
	h.add(carry(doneEnd("second")))
	kept, _ := h.get("j")
	require.Equal(t, "first", string(kept.GetEnd().GetAnswer().GetBody()))
	h.remove("j")
	_, ok = h.get("j")
	require.False(t, ok)
}

// TestAdoptedSharedEnd guards against running a job again whose end another entry had shared, and against changing the
// shared end, which other goroutines read.
func TestAdoptedSharedEnd(t *testing.T) {
	r := newRig(t)
	agent := r.agent("w1", nil)
	r.accept(testJob(func(job *peerpb.Job) { job.Idempotent = true }), "other")
	shared := doneEnd("price")
	before := proto.Clone(shared)
	r.entry.handovers.add(&peerpb.Handover{Jobs: []*peerpb.Carry{{Job: testJob(nil), End: shared}}})
	r.record(adoptRecord("j", r.state().Generation, "self"))
	end := r.outcome()
	require.Equal(t, "price", string(end.GetAnswer().GetBody()))
	require.Equal(t, r.state().Generation, end.GetGeneration())
	require.Zero(t, agent.count(isServe))
	require.True(t, proto.Equal(before, shared))
}
