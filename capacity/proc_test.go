package main

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestParseStat guards against reading the wrong field when the name contains spaces or parentheses.
func TestParseStat(t *testing.T) {
	cpu, err := parseStat("7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 3 4")
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, cpu)
	_, err = parseStat("7 (a) S 1")
	require.Error(t, err)
}

// TestSockets guards against a wrong offset in the kernel's record: the bytes of a connection must be those written.
func TestSockets(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	_, err = client.Write(make([]byte, 1000))
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 1000))
	require.NoError(t, err)
	port := uint16(listener.Addr().(*net.TCPAddr).Port)
	own, err := inodes(os.Getpid())
	require.NoError(t, err)
	all, err := sockets()
	require.NoError(t, err)
	found := 0
	for inode, s := range all {
		if !own[inode] {
			continue
		}
		if s.remote == port {
			found++
			require.Equal(t, uint64(1000), s.sent)
			require.Equal(t, uint64(0), s.received)
		}
		if s.local == port {
			found++
			require.Equal(t, uint64(1000), s.received)
			require.Equal(t, uint64(1), s.segments)
		}
	}
	require.Equal(t, 2, found)
}
