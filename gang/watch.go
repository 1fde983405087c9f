package gang

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultFanout keeps an inner member below 3 KB/s together with its announcements. A gang of 1024 has five levels
	// below the root.
	DefaultFanout = 4
	// DefaultLimit is the age from which a member no longer renews its lease.
	DefaultLimit = 2 * time.Second
	// pauseShare of the limit without any call means that the process was probably paused.
	pauseShare = 2
	// overdueShare of the limit without a renewal of the member's own lease counts as a failed renewal.
	overdueShare = 2
	// settleShare of the limit is how long heartbeats that waited in socket buffers may arrive after a pause.
	settleShare = 20
)

// Config configures a Watch.
type Config struct {
	// Member is the index of this member, from 0 to Members-1.
	Member int
	// Members is the number of members of the gang.
	Members int
	// Fanout is the largest number of children; 0 means DefaultFanout.
	Fanout int
	Clock  clockwork.Clock
	// Limit is the age from which the gang counts as incomplete; 0 means DefaultLimit.
	Limit time.Duration
}

// Watch is one member's view of its gang.
type Watch struct {
	config   Config
	mu       sync.Mutex
	children map[int]*signal
	verdict  signal
	failed   bool
	// renewed is when this member's own lease was last renewed; failing is set when a later renewal failed, and done
	// when the member has ended well and needs no lease.
	renewed time.Time
	failing bool
	done    bool
	// called is the time of the latest call. After a pause, heartbeats up to settled count from running, the last
	// time at which the process was known to run, because they may have waited in a socket buffer since then.
	called  time.Time
	running time.Time
	settled time.Time
}

// signal is the latest time at which a part of the gang was known to be alive.
type signal struct {
	at     time.Time
	failed bool
}

// Parent returns the index of the member that takes the given member's heartbeats; the root has none.
func Parent(member, fanout int) (int, bool) {
	if member <= 0 {
		return 0, false
	}
	return (member - 1) / fanout, true
}

// New returns a Watch that takes every member as alive at the time of the call.
func New(config Config) *Watch {
	if config.Fanout <= 0 {
		config.Fanout = DefaultFanout
	}
	if config.Limit <= 0 {
		config.Limit = DefaultLimit
	}
	now := config.Clock.Now()
	w := &Watch{
		config:   config,
		children: map[int]*signal{},
		verdict: signal{
			at: now,
		},
		renewed: now,
		called:  now,
	}
	for _, child := range w.Children() {
		w.children[child] = &signal{
			at: now,
		}
	}
	return w
}

// Age returns the age of the oldest liveness signal of the whole gang, as far as known here, and whether a member is
// known to have failed.
func (w *Watch) Age() (age time.Duration, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	age, failed = w.subtree(now)
	if w.config.Member == 0 {
		return age, failed
	}
	return max(age, now.Sub(w.verdict.at)), failed || w.verdict.failed
}

// Alive reports whether the gang is known to be complete.
func (w *Watch) Alive() bool {
	age, failed := w.Age()
	return age < w.config.Limit && !failed
}

// Children returns the indexes of the members that send their heartbeats here.
func (w *Watch) Children() []int {
	first := w.config.Member*w.config.Fanout + 1
	var children []int
	for child := first; child < min(first+w.config.Fanout, w.config.Members); child++ {
		children = append(children, child)
	}
	return children
}

// Done records that this member has ended well. It needs no lease any more.
func (w *Watch) Done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
}

// Fail records that this member failed. It can't be undone.
func (w *Watch) Fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
}

// Heard records a heartbeat of a child. A heartbeat that was overtaken by a later one changes nothing, and a failure
// can't be undone. Heartbeats of members that are not children are ignored.
func (w *Watch) Heard(child int, age time.Duration, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	s, ok := w.children[child]
	if !ok {
		return
	}
	if now.Before(w.settled) {
		now = w.running
	}
	s.raise(now, age, failed)
}

// Height returns the number of levels below this member.
func (w *Watch) Height() int {
	height := 0
	for child := w.config.Member*w.config.Fanout + 1; child < w.config.Members; child = child*w.config.Fanout + 1 {
		height++
	}
	return height
}

// Parent returns the index of the member that takes this member's heartbeats; the root has none.
func (w *Watch) Parent() (int, bool) {
	return Parent(w.config.Member, w.config.Fanout)
}

// Renewed records the outcome of a renewal of this member's own lease that was asked for at the given time. A member
// whose worker doesn't answer is not alive, however well its agent is.
func (w *Watch) Renewed(asked time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = !ok
	if ok && asked.After(w.renewed) {
		w.renewed = asked
	}
}

// SubtreeAge returns the age of the oldest liveness signal of this member and those below it.
func (w *Watch) SubtreeAge() (age time.Duration, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.subtree(w.tick())
}

// Verdict records the age from the parent's reply. The caller adds the time since it sent the heartbeat, so that a
// slow reply never makes the gang look younger than it is.
func (w *Watch) Verdict(age time.Duration, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict.raise(w.tick(), age, failed)
}

// own returns the age of this member's own lease. The lease is renewed every now and then, so its age counts only
// when a renewal failed or is overdue.
func (w *Watch) own(now time.Time) time.Duration {
	age := now.Sub(w.renewed)
	if w.done || !w.failing && age < w.config.Limit/overdueShare {
		return 0
	}
	return age
}

func (w *Watch) subtree(now time.Time) (time.Duration, bool) {
	oldest := w.own(now)
	failed := w.failed
	for _, s := range w.children {
		oldest = max(oldest, now.Sub(s.at))
		failed = failed || s.failed
	}
	return oldest, failed
}

func (w *Watch) tick() time.Time {
	now := w.config.Clock.Now()
	if now.Sub(w.called) >= w.config.Limit/pauseShare {
		w.running = w.called
		w.settled = now.Add(w.config.Limit / settleShare)
	}
	w.called = now
	return now
}

func (s *signal) raise(now time.Time, age time.Duration, failed bool) {
	at := now.Add(-max(age, 0))
	if at.After(s.at) {
		s.at = at
	}
	s.failed = s.failed || failed
}
