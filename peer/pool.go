package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout = time.Second
	// maxDialBackoff is short because scheduler failover and fresh state require a connection to a restarted peer
	// within 1 to 2 s.
	maxDialBackoff = 500 * time.Millisecond
	// defaultMaxConsecutiveTimeouts is the number of consecutive calls without a reply after which a session is closed.
	// A peer whose instance was lost sends no FIN, and TCP alone would keep the session for minutes.
	defaultMaxConsecutiveTimeouts = 3
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// TLS turns on mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections; nil means a plain TCP dialer.
	Dial DialFunc
	// MaxConsecutiveTimeouts is the number of consecutive calls without a reply after which a session is closed; 0 means
	// 3.
	MaxConsecutiveTimeouts int
}

// Pool keeps one session per address and makes calls over it.
type Pool struct {
	config      PoolConfig
	mu          sync.Mutex
	connections map[string]*connection
}

// NewPool returns an empty Pool.
func NewPool(config PoolConfig) *Pool {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.MaxConsecutiveTimeouts == 0 {
		config.MaxConsecutiveTimeouts = defaultMaxConsecutiveTimeouts
	}
	if config.Dial == nil {
		dialer := &net.Dialer{
			Timeout: dialTimeout,
		}
		config.Dial = dialer.DialContext
	}
	return &Pool{
		config:      config,
		connections: map[string]*connection{},
	}
}

// Close closes every session.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.close()
	}
}

// Call sends a request, waits for the reply until ctx ends, and decodes it into reply. Errors wrap ErrNotSent if the
// peer cannot have received the request; otherwise the outcome is unknown.
func (p *Pool) Call(ctx context.Context, address string, request, reply proto.Message) error {
	if address == "" {
		return fmt.Errorf("call peer: empty address: %w", ErrNotSent)
	}
	session, err := p.connection(address).openSession(ctx)
	if err != nil {
		return fmt.Errorf("call %s: %w: %w", address, ErrNotSent, err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return fmt.Errorf("call %s: open stream: %w: %w", address, ErrNotSent, err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err = roundTrip(ctx, stream, request, reply)
	p.connection(address).recordResult(session, err)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	return nil
}

// CloseSession closes the session to an address and discards its backoff and timeout counters.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.connections[address]; ok {
		c.close()
		delete(p.connections, address)
	}
}

func (p *Pool) connection(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.connections[address]
	if !ok {
		c = newConnection(address, p.config)
		p.connections[address] = c
	}
	return c
}

func roundTrip(ctx context.Context, stream *yamux.Stream, request, reply proto.Message) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	err := writeMessage(stream, request)
	if err == nil {
		err = readMessage(stream, reply)
	}
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("await reply: %w", context.Cause(ctx))
	case errors.Is(err, yamux.ErrTimeout):
		// The stream's deadline is that of the context, but may expire slightly earlier.
		return fmt.Errorf("await reply: %w", context.DeadlineExceeded)
	default:
		return err
	}
}

// connection manages the session to one address.
type connection struct {
	address     string
	config      PoolConfig
	mu          sync.Mutex
	session     *yamux.Session
	dialBackoff *backoff.ExponentialBackOff
	nextDial    time.Time
	lastDialErr error
	// timeouts is the number of calls without a reply since the last reply.
	timeouts int
}

func newConnection(address string, config PoolConfig) *connection {
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval = 20 * time.Millisecond
	dialBackoff.MaxInterval = maxDialBackoff
	return &connection{
		address:     address,
		config:      config,
		dialBackoff: dialBackoff,
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		_ = c.session.Close()
	}
}

func (c *connection) dial(ctx context.Context) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	if c.config.TLS != nil {
		tlsConn := tls.Client(conn, c.config.TLS)
		if err = tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		conn = tlsConn
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	return session, nil
}

// openSession returns the open session, or dials a new one at most once per backoff interval.
func (c *connection) openSession(ctx context.Context) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	if c.config.Clock.Now().Before(c.nextDial) {
		return nil, fmt.Errorf("backing off after a failed dial: %w", c.lastDialErr)
	}
	session, err := c.dial(ctx)
	if err != nil {
		c.lastDialErr = err
		c.nextDial = c.config.Clock.Now().Add(c.dialBackoff.NextBackOff())
		return nil, err
	}
	c.session = session
	c.dialBackoff.Reset()
	return session, nil
}

// recordResult counts consecutive calls without a reply and closes the session after PoolConfig.MaxConsecutiveTimeouts
// of them.
func (c *connection) recordResult(session *yamux.Session, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, context.DeadlineExceeded) {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < c.config.MaxConsecutiveTimeouts {
		return
	}
	c.timeouts = 0
	_ = session.Close()
}
