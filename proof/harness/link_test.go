package harness_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/proof/harness"
)

// silence is how long a held byte is waited for; a longer time can only find more faults.
const silence = 100 * time.Millisecond

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.(*net.TCPListener)
}

func accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
}

func requireText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	require.NoError(t, err)
	require.Equal(t, text, string(buffer))
}

func requireSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(clockwork.NewRealClock().Now().Add(silence)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestLinkHoldsBytes guards against cuts that leak, that lose bytes, or that stop the other direction too.
func TestLinkHoldsBytes(t *testing.T) {
	for _, test := range []struct {
		name   string
		cut    func(link *harness.Link)
		toHeld bool
		// fromHeld is for bytes from the target.
		fromHeld bool
	}{
		{
			name:     "both directions",
			cut:      (*harness.Link).Cut,
			toHeld:   true,
			fromHeld: true,
		},
		{
			name:   "to the target",
			cut:    (*harness.Link).CutTo,
			toHeld: true,
		},
		{
			name:     "from the target",
			cut:      (*harness.Link).CutFrom,
			fromHeld: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			link, err := harness.NewLink(listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(link.Close)
			client := dial(t, link.Address())
			server := accept(t, listener)
			write(t, client, "a")
			requireText(t, server, "a")
			test.cut(link)
			write(t, client, "b")
			write(t, server, "c")
			for _, direction := range []struct {
				conn net.Conn
				held bool
				text string
			}{
				{server, test.toHeld, "b"},
				{client, test.fromHeld, "c"},
			} {
				if direction.held {
					requireSilence(t, direction.conn)
					continue
				}
				requireText(t, direction.conn, direction.text)
			}
			link.Heal()
			if test.toHeld {
				requireText(t, server, "b")
			}
			if test.fromHeld {
				requireText(t, client, "c")
			}
		})
	}
}

// TestLinkHoldsEnds guards against a cut that shows the end of a connection, or that opens a new one.
func TestLinkHoldsEnds(t *testing.T) {
	listener := listen(t)
	link, err := harness.NewLink(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(link.Close)
	client := dial(t, link.Address())
	server := accept(t, listener)
	link.Cut()
	require.NoError(t, server.Close())
	requireSilence(t, client)
	late := dial(t, link.Address())
	require.NoError(t, listener.SetDeadline(clockwork.NewRealClock().Now().Add(silence)))
	_, err = listener.Accept()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, listener.SetDeadline(time.Time{}))
	link.Heal()
	require.NoError(t, client.SetReadDeadline(time.Time{}))
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	write(t, late, "late")
	requireText(t, accept(t, listener), "late")
}

// TestNetworkCutsPair guards against a cut between two processes that hits another pair, the wrong direction, or
// misses connections that the second process opened.
func TestNetworkCutsPair(t *testing.T) {
	h := newHarness(t)
	listener := listen(t)
	address, err := h.Front("server", listener.Addr().String())
	require.NoError(t, err)
	t.Setenv(dialVariable, address)
	executable, err := os.Executable()
	require.NoError(t, err)
	h.StartCommand("dialer", executable)
	dialer := accept(t, listener)
	tester := dial(t, address)
	fromTest := accept(t, listener)
	h.Network().CutOneWay("dialer", "server")
	write(t, dialer, "a")
	requireSilence(t, dialer)
	write(t, tester, "b")
	requireText(t, fromTest, "b")
	h.Network().HealAll()
	requireText(t, dialer, "a")
	h.Network().CutOneWay("server", "dialer")
	write(t, dialer, "c")
	requireSilence(t, dialer)
	h.Network().Heal("server", "dialer")
	requireText(t, dialer, "c")
}
