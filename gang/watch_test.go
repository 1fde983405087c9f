package gang

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	interval = 500 * time.Millisecond
	step     = 25 * time.Millisecond
)

// network runs the watches of a whole gang and delivers heartbeats and replies late, out of order or not at all.
type network struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	watches []*Watch
	stopped map[int]bool
	// idle members can't renew their lease, although their process still sends heartbeats.
	idle map[int]bool
	next []time.Time
	mail []letter
	// reliable loses nothing.
	reliable bool
}

type letter struct {
	due     time.Time
	deliver func()
}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:       t,
		clock:   clockwork.NewFakeClock(),
		stopped: map[int]bool{},
		idle:    map[int]bool{},
	}
	members := rapid.IntRange(2, 60).Draw(t, "members")
	fanout := rapid.IntRange(1, 16).Draw(t, "fanout")
	for member := range members {
		n.watches = append(n.watches, New(Config{
			Member:  member,
			Members: members,
			Fanout:  fanout,
			Clock:   n.clock,
		}))
		n.next = append(n.next, n.clock.Now().Add(n.delay()))
	}
	return n
}

// delay is shorter than the interval, as the sender's time limit makes it.
func (n *network) delay() time.Duration {
	return time.Duration(rapid.IntRange(0, int(interval/step)-1).Draw(n.t, "delay")) * step
}

func (n *network) lost() bool {
	return !n.reliable && rapid.IntRange(0, 9).Draw(n.t, "lost") == 0
}

func (n *network) depth() int {
	depth, member := 0, len(n.watches)-1
	for {
		parent, ok := n.watches[member].Parent()
		if !ok {
			return depth
		}
		depth, member = depth+1, parent
	}
}

func (n *network) post(deliver func()) {
	if n.lost() {
		return
	}
	n.mail = append(n.mail, letter{
		due:     n.clock.Now().Add(n.delay()),
		deliver: deliver,
	})
}

func (n *network) beat(child int) {
	if !n.idle[child] {
		n.watches[child].Renewed(n.clock.Now(), true)
	} else if rapid.Bool().Draw(n.t, "noticed") {
		n.watches[child].Renewed(n.clock.Now(), false)
	}
	parent, ok := n.watches[child].Parent()
	if !ok {
		return
	}
	age, failed := n.watches[child].SubtreeAge()
	asked := n.clock.Now()
	n.post(func() {
		if n.stopped[parent] {
			return
		}
		n.watches[parent].Heard(child, age, failed)
		verdict, verdictFailed := n.watches[parent].Age()
		n.post(func() {
			if !n.stopped[child] {
				n.watches[child].Verdict(verdict+n.clock.Since(asked), verdictFailed)
			}
		})
	})
}

// run advances the time by d.
func (n *network) run(d time.Duration) {
	for end := n.clock.Now().Add(d); n.clock.Now().Before(end); n.clock.Advance(step) {
		mail := n.mail
		n.mail = nil
		for _, l := range mail {
			if n.clock.Now().Before(l.due) {
				n.mail = append(n.mail, l)
				continue
			}
			l.deliver()
		}
		for member, due := range n.next {
			if !n.clock.Now().Before(due) && !n.stopped[member] {
				n.beat(member)
				n.next[member] = n.clock.Now().Add(interval)
			}
		}
	}
}

// TestStoppedMemberEndsGang guards against a gang that runs on with only part of its members (invariant 2).
func TestStoppedMemberEndsGang(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		n.run(n.delay() * 3)
		victim := rapid.IntRange(0, len(n.watches)-1).Draw(t, "victim")
		bound := time.Duration(n.depth())*interval + DefaultLimit
		if rapid.Bool().Draw(t, "idle") {
			n.idle[victim] = true
			bound += DefaultLimit / overdueShare
		} else {
			n.stopped[victim] = true
		}
		n.run(bound)
		for range 10 {
			for member, watch := range n.watches {
				if age, _ := watch.Age(); member != victim && age < DefaultLimit {
					t.Fatalf("member %d sees the age %s after member %d stopped", member, age, victim)
				}
			}
			n.run(4 * step)
		}
	})
}

// TestFailureReachesAll guards against members that outlive a member whose process still sends heartbeats, once
// messages arrive.
func TestFailureReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		victim := rapid.IntRange(0, len(n.watches)-1).Draw(t, "victim")
		n.watches[victim].Fail()
		n.reliable = true
		n.run(time.Duration(4*n.depth()+1) * interval)
		for member, watch := range n.watches {
			if _, failed := watch.Age(); !failed {
				t.Fatalf("member %d does not know that member %d failed", member, victim)
			}
		}
	})
}

// TestHeartbeatsAfterPause guards against a parent that was paused and takes heartbeats that waited in its socket
// buffer for signs of life at the time of its return.
func TestHeartbeatsAfterPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	watch := New(Config{
		Members: 2,
		Clock:   clock,
	})
	clock.Advance(DefaultLimit - step)
	watch.Renewed(clock.Now(), true)
	watch.Heard(1, 0, false)
	age, _ := watch.Age()
	require.Equal(t, DefaultLimit-step, age)
	clock.Advance(interval)
	watch.Heard(1, 0, false)
	age, _ = watch.Age()
	require.Zero(t, age)
}
