package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

// placerRig is a gangRig whose agents can keep a hold waiting.
type placerRig struct {
	*gangRig
	gate sync.WaitGroup
}

func newPlacerRig(t *testing.T, agents ...string) *placerRig {
	p := &placerRig{gangRig: newGangRig(t, agents...)}
	p.setRefuse(func(_ string, request *peerpb.Request) string {
		if isHold(request) {
			p.gate.Wait()
		}
		return ""
	})
	p.claim("self")
	p.until("the entry is the placer", func() bool { return p.isPlacer() })
	return p
}

func (p *placerRig) isPlacer() bool {
	p.entry.placer.mu.Lock()
	defer p.entry.placer.mu.Unlock()
	return p.entry.placer.scheduler != nil
}

// isPlaced says whether job j is placed.
func (p *placerRig) isPlaced() bool {
	p.entry.placer.mu.Lock()
	defer p.entry.placer.mu.Unlock()
	_, placed := p.entry.placer.placed["j"]
	return placed
}

// place asks for a reservation in the background.
func (p *placerRig) place(job string, count int32, wait time.Duration) <-chan *peerpb.PlaceReply {
	reply := make(chan *peerpb.PlaceReply, 1)
	request := &peerpb.Place{
		Job:     gangJob(1, func(j *peerpb.Job) { j.Id, j.Idempotent = job, true }),
		Attempt: &peerpb.Attempt{Generation: 1, Count: count},
		Wait:    durationpb.New(wait),
	}
	go func() { reply <- p.entry.placer.place(p.ctx, request) }()
	return reply
}

// await returns a reply of place.
func (p *placerRig) await(reply <-chan *peerpb.PlaceReply) *peerpb.PlaceReply {
	p.t.Helper()
	var got *peerpb.PlaceReply
	p.until("the placer replies", func() bool {
		select {
		case got = <-reply:
			return true
		default:
			return false
		}
	})
	return got
}

// TestPlacerAsksAgain guards against losing a job whose owner asks for a new attempt while the old one is reserved, and
// against a reservation of the old attempt.
func TestPlacerAsksAgain(t *testing.T) {
	tests := []struct {
		name   string
		forget bool
		count  int32
	}{
		{"same attempt", false, 1},
		{"new attempt", false, 2},
		{"new attempt after the old one was given up", true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPlacerRig(t, "w1")
			p.gate.Add(1)
			first := p.place("j", 1, 50*time.Millisecond)
			p.until("the hold is asked for", func() bool { return p.agents[0].count(isHold) > 0 })
			require.Nil(t, p.await(first).GetReservation())
			if test.forget {
				p.entry.placer.forget(&peerpb.Forget{Job: "j", Again: true})
			}
			second := p.place("j", test.count, 30*time.Second)
			p.pass(300 * time.Millisecond)
			p.gate.Done()
			reservation := p.await(second).GetReservation()
			require.Equal(t, test.count, reservation.GetAttempt().GetCount())
			require.True(t, p.isPlaced())
		})
	}
}

// TestPlacerTermChange guards against a reservation under a term that was replaced while it was made.
func TestPlacerTermChange(t *testing.T) {
	p := newPlacerRig(t, "w1")
	p.gate.Add(1)
	first := p.place("j", 1, 30*time.Second)
	p.until("the hold is asked for", func() bool { return p.agents[0].count(isHold) > 0 })
	p.claim("other")
	require.Nil(t, p.await(first).GetReservation())
	require.Nil(t, p.await(p.place("j", 1, time.Second)).GetReservation(), "it is not the placer")
	p.claim("self")
	p.until("the entry is the placer again", p.isPlacer)
	second := p.place("j", 2, 30*time.Second)
	p.pass(300 * time.Millisecond)
	p.gate.Done()
	reservation := p.await(second).GetReservation()
	require.Equal(t, int32(2), reservation.GetAttempt().GetCount())
	require.Equal(t, int64(2), reservation.GetTerm().GetOffset())
}

// TestPlacerUnseen guards against keeping the place of a job that no agent announces.
func TestPlacerUnseen(t *testing.T) {
	p := newPlacerRig(t, "w1")
	require.NotNil(t, p.await(p.place("j", 1, 30*time.Second)).GetReservation())
	require.NotNil(t, p.await(p.place("k", 1, 30*time.Second)).GetReservation())
	require.False(t, p.isPlaced())
}

// TestPlacerRestore guards against placing work on accelerators that a gang of the placer before uses.
func TestPlacerRestore(t *testing.T) {
	p := newPlacerRig(t, "w1")
	p.claim("other")
	p.accept(gangJob(1, func(job *peerpb.Job) { job.Idempotent = true }), "other")
	p.agents[0].update(func(announce *peerpb.Announce) {
		announce.Tasks = []*peerpb.TaskInfo{{Job: "j", Attempt: &peerpb.Attempt{Generation: 2, Count: 1}, Accelerators: 0xff}}
	})
	p.claim("self")
	p.until("the gang is restored", func() bool { return p.isPlaced() })
	require.Nil(t, p.await(p.place("k", 1, 2*time.Second)).GetReservation())
	p.entry.placer.forget(&peerpb.Forget{Job: "j", Ok: true})
	require.NotNil(t, p.await(p.place("k", 1, 30*time.Second)).GetReservation())
}

// TestPlacerEnded guards against restoring a gang that has ended, because its agent's announcement is up to 500 ms old:
// its accelerators stayed idle until unseenLimit, and a job that runs again waited for that long.
func TestPlacerEnded(t *testing.T) {
	tests := []struct {
		name   string
		change func(report *peerpb.Report)
	}{
		{"done", nil},
		{"runs again", lostReport},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPlacerRig(t, "w1")
			p.accept(gangJob(1, func(job *peerpb.Job) { job.Idempotent = true }), "self")
			first := p.started(1)
			p.announceTask(p.agents[0], false)
			p.pass(200 * time.Millisecond)
			p.report(p.agents[0], test.change)
			if test.change == nil {
				p.outcome()
				p.pass(300 * time.Millisecond)
				require.False(t, p.isPlaced())
				return
			}
			// The announcement of the old attempt stays, as from an agent that is slow to tell.
			require.Positive(t, compareAttempts(p.started(2), first))
		})
	}
}

// TestPlacerReplyBetweenPolls guards against losing a reservation that is made between two polls of its owner.
func TestPlacerReplyBetweenPolls(t *testing.T) {
	p := newPlacerRig(t, "w1")
	p.gate.Add(1)
	first := p.place("j", 1, 50*time.Millisecond)
	p.until("the hold is asked for", func() bool { return p.agents[0].count(isHold) > 0 })
	require.Nil(t, p.await(first).GetReservation())
	p.gate.Done()
	p.pass(300 * time.Millisecond)
	require.NotNil(t, p.await(p.place("j", 1, 30*time.Second)).GetReservation())
	require.Equal(t, 1, p.agents[0].count(isHold), "the reservation is kept for the next poll")
}
