package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/gang"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// beatInterval lets three heartbeats in a row get lost before a gang counts as incomplete.
	beatInterval = 500 * time.Millisecond
	// beatHold is how long a parent keeps a heartbeat until it knows the verdict of its own parent. Without it each
	// level of the tree would add an interval to the age on the way down, and 1024 members would reach the limit in
	// normal operation.
	beatHold = beatInterval / 2
	// beatTimeout bounds how late a heartbeat can arrive after its sender stopped.
	beatTimeout = beatInterval
	// lingerLimit is how long an ended member of an incomplete gang tells the others.
	lingerLimit = 10 * time.Second
)

// member exchanges the heartbeats of one member of a gang with its parent and children.
type member struct {
	key     key
	members []*peerpb.Member
	watch   *gang.Watch
	clock   clockwork.Clock
	peers   Peers
	mu      sync.Mutex
	// heard are the children heard since the last verdict; ready receives when all of them were.
	heard map[int]bool
	ready chan struct{}
	// verdict is closed when the next verdict is known.
	verdict chan struct{}
}

func newMember(k key, members []*peerpb.Member, clock clockwork.Clock, peers Peers) *member {
	return &member{
		key:     k,
		members: members,
		clock:   clock,
		peers:   peers,
		watch: gang.New(gang.Config{
			Member:  int(k.member),
			Members: len(members),
			Clock:   clock,
		}),
		heard:   map[int]bool{},
		ready:   make(chan struct{}, 1),
		verdict: make(chan struct{}),
	}
}

// beat answers a child's heartbeat, if possible with the verdict of the round that this heartbeat belongs to.
func (m *member) beat(ctx context.Context, beat *peerpb.Beat) *peerpb.BeatReply {
	m.watch.Heard(int(beat.GetMember()), beat.GetAge().AsDuration(), beat.GetFailed())
	timer := m.clock.NewTimer(beatHold)
	defer timer.Stop()
	select {
	case <-m.join(int(beat.GetMember()), beat.GetFailed()):
	case <-timer.Chan():
	case <-ctx.Done():
	}
	age, failed := m.watch.Age()
	return &peerpb.BeatReply{
		Known:  true,
		Age:    durationpb.New(age),
		Failed: failed,
	}
}

// fail tells the gang that this member has ended without a result.
func (m *member) fail() {
	m.watch.Fail()
	m.kick()
}

// join adds a child to the current round and returns the channel that is closed at its end.
func (m *member) join(child int, failed bool) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[child] = true
	if failed || len(m.heard) >= len(m.watch.Children()) {
		m.kick()
	}
	return m.verdict
}

func (m *member) kick() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// publish ends the round.
func (m *member) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.heard)
	close(m.verdict)
	m.verdict = make(chan struct{})
}

// round sends one heartbeat to the parent, if there is one, and passes the verdict on to the children.
func (m *member) round(ctx context.Context) {
	defer m.publish()
	parent, ok := m.watch.Parent()
	if !ok {
		return
	}
	age, failed := m.watch.SubtreeAge()
	asked := m.clock.Now()
	callCtx, cancel := clockwork.WithTimeout(ctx, m.clock, beatTimeout)
	defer cancel()
	reply, err := m.peers.Call(callCtx, m.members[parent].GetAddress(), &peerpb.Request{
		Kind: &peerpb.Request_Beat{
			Beat: &peerpb.Beat{
				Job:     m.key.job,
				Attempt: m.key.attempt.message(),
				Member:  m.key.member,
				Age:     durationpb.New(age),
				Failed:  failed,
			},
		},
	})
	if err != nil || !reply.GetBeat().GetKnown() {
		return
	}
	m.watch.Verdict(reply.GetBeat().GetAge().AsDuration()+m.clock.Since(asked), reply.GetBeat().GetFailed())
}

// run exchanges heartbeats until ctx ends. The wait starts after the reply, which brings the children of one parent
// into step.
func (m *member) run(ctx context.Context) {
	wait := beatInterval
	if len(m.watch.Children()) > 0 {
		wait += beatHold
	}
	for {
		timer := m.clock.NewTimer(wait)
		select {
		case <-m.ready:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		m.round(ctx)
	}
}
