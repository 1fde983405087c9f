package entry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

// gangRig runs gangs on fake agents that announce what they run and report its end when told.
type gangRig struct {
	*rig
	mu sync.Mutex
	// refuse returns the reason for which an agent refuses a request, empty if it does not.
	refuse func(agent string, request *peerpb.Request) string
}

func newGangRig(t *testing.T, agents ...string) *gangRig {
	g := &gangRig{rig: newRig(t)}
	for _, id := range agents {
		g.agent(id, func(request *peerpb.Request) *peerpb.Reply {
			g.mu.Lock()
			refuse := g.refuse
			g.mu.Unlock()
			if refuse != nil {
				if reason := refuse(id, request); reason != "" {
					return &peerpb.Reply{Kind: &peerpb.Reply_Verdict{Verdict: &peerpb.Verdict{Reason: reason}}}
				}
			}
			return nil
		})
	}
	return g
}

func (g *gangRig) setRefuse(refuse func(agent string, request *peerpb.Request) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = refuse
}

// started waits until every agent has got as many starts and returns the last attempt.
func (g *gangRig) started(count int) *peerpb.Attempt {
	g.t.Helper()
	var last *peerpb.Attempt
	for _, a := range g.agents {
		g.until("start of a member", func() bool { return a.count(isStart) >= count })
		starts := a.selected(isStart)
		last = starts[len(starts)-1].GetStart().GetAttempt()
	}
	return last
}

// announceTask makes an agent announce the member that it started last.
func (g *gangRig) announceTask(a *fakeAgent, ended bool) {
	starts := a.selected(isStart)
	start := starts[len(starts)-1].GetStart()
	a.update(func(announce *peerpb.Announce) {
		announce.Change++
		announce.Tasks = []*peerpb.TaskInfo{{
			Job: start.GetJob(), Attempt: start.GetAttempt(), Member: start.GetMember(), Accelerators: 0xff, Ended: ended,
		}}
	})
	g.step(0)
}

// report tells the entry of a member's end.
func (g *gangRig) report(a *fakeAgent, change func(report *peerpb.Report)) {
	g.t.Helper()
	starts := a.selected(isStart)
	start := starts[len(starts)-1].GetStart()
	report := &peerpb.Report{
		Job: start.GetJob(), Attempt: start.GetAttempt(), Member: start.GetMember(), Agent: a.announce.GetAgent(),
		Answer: answerOf(start.GetJob(), a.announce.GetAgent()),
	}
	if change != nil {
		change(report)
	}
	g.until("the report is accepted", func() bool { return g.entry.handleReport(report).GetAccepted() })
}

// gangJob has one member per worker of 8 accelerators.
func gangJob(members int32, change func(job *peerpb.Job)) *peerpb.Job {
	return testJob(func(job *peerpb.Job) {
		job.Members = members
		job.Accelerators = 8
		job.Scope = peerpb.Scope_SCOPE_ZONE
		if change != nil {
			change(job)
		}
	})
}

func failReport(report *peerpb.Report) { report.Failed = true }
func lostReport(report *peerpb.Report) { report.Lost = true }
func checkpointReport(report *peerpb.Report) {
	report.Checkpointed = true
	report.Answer = nil
}
func garbledReport(report *peerpb.Report) { report.Answer.Crc32C++ }

// TestGangEnds guards against an outcome that contradicts what the members reported. A nil report is a member that
// stays silent.
func TestGangEnds(t *testing.T) {
	plain := func(*peerpb.Report) {}
	const (
		done   = peerpb.Outcome_OUTCOME_DONE
		lost   = peerpb.Outcome_OUTCOME_LOST
		failed = peerpb.Outcome_OUTCOME_FAILED
	)
	tests := []struct {
		name           string
		idempotent     bool
		checkpointable bool
		reports        [2]func(report *peerpb.Report)
		// again says that the job runs another time.
		again   bool
		outcome peerpb.Outcome
	}{
		{"done", false, false, [2]func(*peerpb.Report){plain, plain}, false, done},
		{"one failed", false, false, [2]func(*peerpb.Report){plain, failReport}, false, failed},
		{"one lost", false, false, [2]func(*peerpb.Report){plain, lostReport}, false, lost},
		{"one lost of idempotent", true, false, [2]func(*peerpb.Report){lostReport, plain}, true, 0},
		{"all checkpointed", false, true, [2]func(*peerpb.Report){checkpointReport, checkpointReport}, true, 0},
		{"one checkpointed, one lost", false, true, [2]func(*peerpb.Report){checkpointReport, lostReport}, false, lost},
		{"one failed, one silent", false, false, [2]func(*peerpb.Report){failReport, nil}, false, failed},
		{"one silent", false, false, [2]func(*peerpb.Report){plain, nil}, false, lost},
		{"garbled answer", false, false, [2]func(*peerpb.Report){plain, garbledReport}, false, lost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGangRig(t, "w1", "w2")
			g.claim("self")
			g.accept(gangJob(2, func(job *peerpb.Job) {
				job.Idempotent = test.idempotent
				job.Checkpointable = test.checkpointable
			}), "self")
			first := g.started(1)
			for at, change := range test.reports {
				if change != nil {
					g.report(g.agents[at], change)
				}
			}
			if !test.again {
				end := g.outcome()
				require.Equal(t, test.outcome, end.GetOutcome(), end.GetReasons())
				return
			}
			second := g.started(2)
			require.Positive(t, compareAttempts(second, first), "a new attempt supersedes the old one")
			g.report(g.agents[0], nil)
			g.report(g.agents[1], nil)
			require.Equal(t, peerpb.Outcome_OUTCOME_DONE, g.outcome().GetOutcome())
		})
	}
}

// TestGangFailedWaits guards against ending an idempotent gang after one failure. Its workspace has no other worker, so
// it waits.
func TestGangFailedWaits(t *testing.T) {
	g := newGangRig(t, "w1", "w2")
	g.claim("self")
	g.accept(gangJob(2, func(job *peerpb.Job) { job.Idempotent = true }), "self")
	g.started(1)
	g.report(g.agents[0], nil)
	g.report(g.agents[1], failReport)
	r, _ := g.entry.owner.get("j")
	g.until("the gang waits", func() bool { state, _ := r.shown(); return state == stateQueued })
	require.Nil(t, g.state().End)
}

// TestGangReportDropped guards against counting reports of other attempts or of members that do not exist.
func TestGangReportDropped(t *testing.T) {
	g := newGangRig(t, "w1", "w2")
	g.claim("self")
	g.accept(gangJob(2, nil), "self")
	attempt := g.started(1)
	g.report(g.agents[0], nil)
	g.report(g.agents[0], failReport)
	g.report(g.agents[1], func(report *peerpb.Report) { report.Member = -1 })
	g.report(g.agents[1], func(report *peerpb.Report) { report.Member = 2 })
	g.report(g.agents[1], func(report *peerpb.Report) {
		report.Failed = true
		report.Attempt = &peerpb.Attempt{Generation: attempt.GetGeneration(), Count: attempt.GetCount() - 1}
	})
	g.pass(time.Second)
	require.Nil(t, g.state().End)
	g.report(g.agents[1], nil)
	end := g.outcome()
	require.Equal(t, peerpb.Outcome_OUTCOME_DONE, end.GetOutcome(), end.GetReasons())
	require.Contains(t, []string{`["w1","w2"]`, `["w2","w1"]`}, string(end.GetAnswer().GetBody()))
}

// TestGangRefused guards against starting a part of a gang, and against giving up after a refusal that ran nothing.
func TestGangRefused(t *testing.T) {
	tests := []struct {
		name string
		kind func(request *peerpb.Request) bool
	}{
		{"hold", isHold},
		{"commit", func(request *peerpb.Request) bool { return request.GetCommit() != nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGangRig(t, "w1", "w2")
			var refused atomic.Bool
			g.setRefuse(func(agent string, request *peerpb.Request) string {
				if agent == "w2" && test.kind(request) && refused.CompareAndSwap(false, true) {
					return "no"
				}
				return ""
			})
			g.claim("self")
			g.accept(gangJob(2, nil), "self")
			g.started(1)
			require.Equal(t, 1, g.agents[0].count(isStart), "nothing starts before all have agreed")
			require.Equal(t, 1, g.agents[1].count(isStart))
			g.report(g.agents[0], nil)
			g.report(g.agents[1], nil)
			require.Equal(t, peerpb.Outcome_OUTCOME_DONE, g.outcome().GetOutcome())
		})
	}
}

// TestGangStartRefused guards against a gang that runs with a part of its members after one refused its start.
func TestGangStartRefused(t *testing.T) {
	g := newGangRig(t, "w1", "w2")
	g.setRefuse(func(agent string, request *peerpb.Request) string {
		if agent == "w2" && isStart(request) {
			return "no lease"
		}
		return ""
	})
	g.claim("self")
	g.accept(gangJob(2, nil), "self")
	isRelease := func(request *peerpb.Request) bool { return request.GetRelease() != nil }
	g.until("the started member is released", func() bool { return g.agents[0].count(isRelease) > 0 })
	g.report(g.agents[0], lostReport)
	require.Equal(t, peerpb.Outcome_OUTCOME_LOST, g.outcome().GetOutcome())
}

// TestGangCancelled guards against a cancellation that leaves members running.
func TestGangCancelled(t *testing.T) {
	g := newGangRig(t, "w1", "w2")
	g.claim("self")
	g.accept(gangJob(2, nil), "self")
	g.started(1)
	g.record(&peerpb.Record{Kind: &peerpb.Record_Cancel{Cancel: &peerpb.Cancel{Job: "j"}}})
	isRelease := func(request *peerpb.Request) bool { return request.GetRelease() != nil }
	for _, a := range g.agents {
		g.until("a member is released", func() bool { return a.count(isRelease) > 0 })
	}
	g.report(g.agents[0], lostReport)
	g.report(g.agents[1], lostReport)
	require.Equal(t, peerpb.Outcome_OUTCOME_CANCELLED, g.outcome().GetOutcome())
}

// TestGangAdopted guards against running a gang a second time that still runs, and against leaving a part of it.
func TestGangAdopted(t *testing.T) {
	tests := []struct {
		name      string
		announced []int32
		started   bool
		outcome   peerpb.Outcome
	}{
		{"all members announced", []int32{0, 1}, true, peerpb.Outcome_OUTCOME_DONE},
		{"some members announced", []int32{0}, true, peerpb.Outcome_OUTCOME_LOST},
		{"a member that does not exist", []int32{0, -1}, true, peerpb.Outcome_OUTCOME_LOST},
		{"no member announced", nil, true, peerpb.Outcome_OUTCOME_LOST},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGangRig(t, "w1", "w2")
			g.accept(gangJob(2, nil), "other")
			generation := g.state().Generation
			g.record(startRecord(generation))
			attempt := &peerpb.Attempt{Generation: generation, Count: 4}
			for at, member := range test.announced {
				g.agents[at].update(func(announce *peerpb.Announce) {
					announce.Tasks = []*peerpb.TaskInfo{{Job: "j", Attempt: attempt, Member: member, Accelerators: 0xff}}
				})
			}
			g.record(adoptRecord("j", generation, "self"))
			if test.outcome == peerpb.Outcome_OUTCOME_DONE {
				for at, member := range test.announced {
					report := &peerpb.Report{
						Job: "j", Attempt: attempt, Member: member, Answer: answerOf("j", "x"), Agent: []string{"w1", "w2"}[at],
					}
					g.until("the report is accepted", func() bool { return g.entry.handleReport(report).GetAccepted() })
				}
			}
			end := g.outcome()
			require.Equal(t, test.outcome, end.GetOutcome(), end.GetReasons())
			for _, a := range g.agents {
				require.Zero(t, a.count(isStart))
			}
		})
	}
}
