package connlimit

import (
	"container/list"
	"math"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
)

// reason is why a connection was closed or a request refused, as written to the log and the metrics.
type reason string

const (
	reasonConns      reason = "connections"
	reasonBytes      reason = "bytes"
	reasonAllServing reason = "all serving"
)

// minLogInterval is the least time between two log lines; what happens between them is counted.
const minLogInterval = time.Second

// Limiter bounds the connections of some servers and the bytes that they hold. It is safe for concurrent use.
type Limiter struct {
	config Config
	mu     sync.Mutex
	// unfinished holds the connections whose current request isn't read yet, idle those between two requests; both in
	// the order in which they came to that. conns is the number of all.
	unfinished *list.List
	idle       *list.List
	conns      int
	// held is the number of bytes held for requests.
	held int64
	// loggedAt is when a closed connection was last logged, suppressed the number of those since.
	loggedAt   time.Time
	suppressed int
}

// New returns a limiter.
func New(config Config) *Limiter {
	return &Limiter{
		config:     config,
		unfinished: list.New(),
		idle:       list.New(),
	}
}

// NewUnlimited returns a limiter that closes nothing.
func NewUnlimited(logger hclog.Logger, clock clockwork.Clock) *Limiter {
	return New(Config{
		Logger:   logger,
		Metrics:  tally.NoopScope,
		Clock:    clock,
		MaxConns: math.MaxInt,
		MaxBytes: math.MaxInt64,
	})
}

// NewConn returns a connection that counts for the limiter once it is admitted.
func (l *Limiter) NewConn(inner net.Conn) *Conn {
	return &Conn{
		Conn:    inner,
		limiter: l,
	}
}

// Listen returns a listener whose connections count for the limiter. It goes on after errors of the inner one, such as
// a lack of descriptors, until that is closed.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		limiter:  l,
	}
}

// AfterFunc calls a function after a time unless the returned function is called before.
func (l *Limiter) AfterFunc(delay time.Duration, call func()) (stop func() bool) {
	return l.config.Clock.AfterFunc(delay, call).Stop
}

// admit adds a connection, at the cost of another one if there are too many. It reports false if it has to be refused.
func (l *Limiter) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns >= l.config.MaxConns && !l.closeOldest(reasonConns, nil) {
		l.note(reasonAllServing, c)
		return false
	}
	l.conns++
	l.place(c, l.unfinished)
	return true
}

// hold charges a connection for bytes, at the cost of others if there are too many. It reports false if these can't be
// held. A request alone is always held.
func (l *Limiter) hold(c *Conn, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held > c.held && l.held+bytes > l.config.MaxBytes {
		if !l.closeOldest(reasonBytes, c) {
			l.note(reasonBytes, c)
			return false
		}
	}
	if c.closed {
		return false
	}
	c.held += bytes
	l.held += bytes
	return true
}

// free frees a part of what a connection holds.
func (l *Limiter) free(c *Conn, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	freed := min(bytes, c.held)
	c.held -= freed
	l.held -= freed
}

// release frees what a connection holds.
func (l *Limiter) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseHeld(c)
}

// begin notes that a connection begins to send a request, rest that its request is answered, and serve that a request
// was read whole.
func (l *Limiter) begin(c *Conn) { l.move(c, l.unfinished) }

func (l *Limiter) rest(c *Conn) { l.move(c, l.idle) }

func (l *Limiter) serve(c *Conn) { l.move(c, nil) }

// remove forgets a connection that was closed.
func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

func (l *Limiter) move(c *Conn, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		l.place(c, to)
	}
}

// place puts a connection at the end of a list; nil if it belongs to none. The caller holds the mutex.
func (l *Limiter) place(c *Conn, to *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
	}
	c.element, c.list = nil, to
	if to != nil {
		c.element = to.PushBack(c)
	}
}

// closeOldest closes the oldest connection that serves no request, other than c, and reports whether there is one. For
// bytes only those that hold some count. The caller holds the mutex.
func (l *Limiter) closeOldest(why reason, c *Conn) bool {
	for _, candidates := range []*list.List{l.unfinished, l.idle} {
		for element := candidates.Front(); element != nil; element = element.Next() {
			victim, ok := element.Value.(*Conn)
			if !ok || victim == c || (why == reasonBytes && victim.held == 0) {
				continue
			}
			l.note(why, victim)
			l.forget(victim)
			_ = victim.Conn.Close()
			return true
		}
	}
	return false
}

// forget removes a connection and what it holds. The caller holds the mutex.
func (l *Limiter) forget(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	l.place(c, nil)
	l.releaseHeld(c)
	l.conns--
}

// releaseHeld frees what a connection holds. The caller holds the mutex.
func (l *Limiter) releaseHeld(c *Conn) {
	l.held -= c.held
	c.held = 0
}

// note counts a closed or refused connection and logs it, at most once a minLogInterval. The caller holds the mutex.
func (l *Limiter) note(why reason, c *Conn) {
	l.config.Metrics.Tagged(map[string]string{
		"reason": string(why),
	}).Counter("closed_connections").Inc(1)
	now := l.config.Clock.Now()
	if now.Sub(l.loggedAt) < minLogInterval {
		l.suppressed++
		return
	}
	l.config.Logger.Warn("connection closed at a limit", "reason", string(why), "remote", c.RemoteAddr().String(),
		"connections", l.conns, "bytes", l.held, "suppressed", l.suppressed)
	l.loggedAt = now
	l.suppressed = 0
}
