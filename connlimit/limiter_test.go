package connlimit

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// newTestLimiter returns a limiter of three connections and 100 bytes.
func newTestLimiter() *Limiter {
	return New(Config{
		Logger:   hclog.NewNullLogger(),
		Metrics:  tally.NoopScope,
		Clock:    clockwork.NewRealClock(),
		MaxConns: 3,
		MaxBytes: 100,
	})
}

// connect adds a connection and reports whether it was admitted.
func connect(l *Limiter) (*Conn, bool) {
	_, inner := net.Pipe()
	conn := l.NewConn(inner)
	return conn, l.admit(conn)
}

// Guards against newcomers that are refused while others only wait, and against requests that were read whole and are
// given up for others.
func TestConnectionsAtTheLimit(t *testing.T) {
	tests := []struct {
		name string
		// prepare brings the three connections into their states, the oldest first.
		prepare    func(conns []*Conn)
		wantClosed []bool
		wantAdmits bool
	}{
		{
			name:       "the oldest unfinished one is closed",
			prepare:    func([]*Conn) {},
			wantClosed: []bool{true, false, false},
			wantAdmits: true,
		},
		{
			name: "an unfinished one before an idle one",
			prepare: func(conns []*Conn) {
				conns[0].Rest()
				conns[1].Serve()
			},
			wantClosed: []bool{false, false, true},
			wantAdmits: true,
		},
		{
			name: "an idle one before the newcomer",
			prepare: func(conns []*Conn) {
				conns[0].Serve()
				conns[1].Rest()
				conns[2].Serve()
			},
			wantClosed: []bool{false, true, false},
			wantAdmits: true,
		},
		{
			name: "none that serves a request",
			prepare: func(conns []*Conn) {
				for _, conn := range conns {
					conn.Serve()
				}
			},
			wantClosed: []bool{false, false, false},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLimiter()
			var conns []*Conn
			for range 3 {
				conn, ok := connect(l)
				require.True(t, ok)
				conns = append(conns, conn)
			}
			test.prepare(conns)
			_, admitted := connect(l)
			require.Equal(t, test.wantAdmits, admitted)
			for i, conn := range conns {
				require.Equal(t, test.wantClosed[i], conn.closed, i)
			}
			require.Equal(t, 3, l.conns)
		})
	}
}

// Guards against unfinished requests that take the memory of the process, and against a limit that refuses a request
// inside the limits while nothing else is held.
func TestBytesAtTheLimit(t *testing.T) {
	l := newTestLimiter()
	first, _ := connect(l)
	second, _ := connect(l)
	require.True(t, first.Hold(60))
	require.True(t, second.Hold(60), "the unfinished request of the first is given up")
	require.True(t, first.closed)
	require.False(t, first.Hold(1))
	second.Serve()
	third, _ := connect(l)
	require.False(t, third.Hold(60), "a request that was read whole is kept")
	second.Rest()
	require.True(t, third.Hold(500), "a request alone is held")
	third.Free(400)
	require.EqualValues(t, 100, l.held)
	require.NoError(t, third.Close())
	require.Zero(t, l.held)
	require.Equal(t, 1, l.conns)
}

// Guards against charges that outlive their connection.
func TestReadAllChargesAsBytesArrive(t *testing.T) {
	l := newTestLimiter()
	conn, _ := connect(l)
	content, err := conn.ReadAll(strings.NewReader("abc"), 10, 2)
	require.NoError(t, err)
	require.Equal(t, "abc", string(content))
	require.EqualValues(t, 6, l.held)
	_, err = conn.ReadAll(strings.NewReader(strings.Repeat("a", 11)), 10, 2)
	require.ErrorIs(t, err, errTooLarge)
	_, err = conn.ReadAll(io.MultiReader(strings.NewReader("abc"), failingReader{}), 10, 2)
	require.ErrorIs(t, err, errUnfinished)
	conn.Rest()
	require.Zero(t, l.held)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errors.New("connection reset")
}

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

// Guards against a server that ends when it can't accept for a moment: a lack of descriptors ended the process.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limited := newTestLimiter().Listen(&failingListener{
		Listener: inner,
		failures: 3,
	})
	client, err := (&net.Dialer{Timeout: time.Minute}).DialContext(t.Context(), "tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	_, err = limited.Accept()
	require.NoError(t, err)
	require.NoError(t, limited.Close())
	_, err = limited.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
