package main

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// TestLimitListener guards against connections beyond the limit, and against a limit that is used up by connections
// that are closed.
func TestLimitListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := newLimitListener(inner, 1)
	accepted := make(chan net.Conn)
	done := make(chan error, 1)
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				done <- acceptErr
				return
			}
			accepted <- conn
		}
	}()
	for range 3 {
		conn, dialErr := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, dialErr)
		t.Cleanup(func() { _ = conn.Close() })
	}
	for range 2 {
		first := <-accepted
		select {
		case <-accepted:
			require.Fail(t, "accepted beyond the limit")
		case <-clockwork.NewRealClock().After(50 * time.Millisecond):
		}
		require.NoError(t, first.Close())
		require.Error(t, first.Close())
	}
	<-accepted
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}
