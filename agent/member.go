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
	// beatInterval lets two heartbeats in a row get lost before a gang counts as incomplete.
	beatInterval = 500 * time.Millisecond
	// beatHold is how long a parent keeps a heartbeat until it knows the verdict of its own parent. Without it each
	// level of the tree would add an interval to the age on the way up and on the way down, and 1024 members would
	// reach the limit in normal operation.
	beatHold = beatInterval / 2
	// beatTimeout bounds how late a heartbeat can arrive after its sender stopped.
	beatTimeout = beatHold + 100*time.Millisecond
	// beatStagger is how much longer each level waits for the heartbeats of the level below.
	beatStagger = 75 * time.Millisecond
	// beatRetry is the wait after a heartbeat without an answer.
	beatRetry = 100 * time.Millisecond
	// lingerLimit is how long an ended member of an incomplete gang tells the others.
	lingerLimit = 10 * time.Second
)

// member exchanges the heartbeats of one member of a gang with its parent and children. The heartbeats run in rounds:
// they rise from the leaves, each level waiting for the one below, and the root's verdict descends in the replies.
type member struct {
	key     key
	members []*peerpb.Member
	watch   *gang.Watch
	clock   clockwork.Clock
	peers   Peers
	mu      sync.Mutex
	// heard are the children heard in this round; ready receives when all of them were.
	heard map[int]bool
	ready chan struct{}
	// urgent receives when a failure is to be passed on at once.
	urgent chan struct{}
	// verdict is closed at the end of the round; published is when the last round ended.
	verdict   chan struct{}
	published time.Time
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
		urgent:  make(chan struct{}, 1),
		verdict: make(chan struct{}),
	}
}

// beat answers a child's heartbeat, if possible with the verdict of the round that this heartbeat belongs to. The age
// in the reply is that at the heartbeat's arrival: the child adds the whole time since it asked.
func (m *member) beat(ctx context.Context, beat *peerpb.Beat) *peerpb.BeatReply {
	arrived := m.clock.Now()
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
		Age:    durationpb.New(max(age-m.clock.Since(arrived), 0)),
		Failed: failed,
	}
}

// await waits until a round is due: an interval after the last one and when all children were heard, or some time
// later without them.
func (m *member) await(ctx context.Context, last time.Time) {
	if m.wait(ctx, last.Add(beatInterval), nil) && m.watch.Height() > 0 {
		m.wait(ctx, last.Add(beatInterval+time.Duration(m.watch.Height())*beatStagger), m.ready)
	}
}

// fail tells the gang that this member has ended without a result.
func (m *member) fail() {
	m.watch.Fail()
	signal(m.urgent)
}

// join adds a child to the current round and returns the channel that is closed at its end. A child that has just
// missed the end of the last round belongs to that one and gets its verdict at once, else it would stay out of step.
func (m *member) join(child int, failed bool) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !failed && m.clock.Since(m.published) < beatHold {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	m.heard[child] = true
	if len(m.heard) >= len(m.watch.Children()) {
		signal(m.ready)
	}
	if failed {
		signal(m.urgent)
	}
	return m.verdict
}

// publish ends the round.
func (m *member) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.heard)
	select {
	case <-m.ready:
	default:
	}
	close(m.verdict)
	m.published = m.clock.Now()
	m.verdict = make(chan struct{})
}

// round sends one heartbeat to the parent, if there is one, and passes the verdict on to the children. It reports
// whether the parent answered, and whether it answered before its time to hold the heartbeat was over.
func (m *member) round(ctx context.Context) (answered, ended bool) {
	parent, ok := m.watch.Parent()
	if !ok {
		m.publish()
		return true, true
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
		return false, false
	}
	took := m.clock.Since(asked)
	m.watch.Verdict(reply.GetBeat().GetAge().AsDuration()+took, reply.GetBeat().GetFailed())
	if took >= beatHold && !reply.GetBeat().GetFailed() {
		return true, false
	}
	m.publish()
	return true, true
}

// run exchanges heartbeats until ctx ends. A member that is out of step with its parent's rounds sends the next
// heartbeat as soon as the parent stops holding the last one, so that the end of the round finds one there.
func (m *member) run(ctx context.Context) {
	last := m.clock.Now().Add(-beatInterval)
	for ctx.Err() == nil {
		m.await(ctx, last)
		asked := m.clock.Now()
		answered, ended := m.round(ctx)
		switch {
		case ended:
			last = m.clock.Now()
		case !answered:
			_ = sleep(ctx, m.clock, jitter(beatRetry)-m.clock.Since(asked))
		}
	}
}

// wait returns false if it ended early because of a failure, ctx or the given channel.
func (m *member) wait(ctx context.Context, until time.Time, early <-chan struct{}) bool {
	timer := m.clock.NewTimer(m.clock.Until(until))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-m.urgent:
	case <-early:
	case <-ctx.Done():
	}
	return false
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
