package agent

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

// TestStopLeavesOutcomeOpen guards against callers that take the end of the agent for a refusal, and then say that a
// request was not run.
func TestStopLeavesOutcomeOpen(t *testing.T) {
	clock := clockwork.NewRealClock()
	pool := peer.NewPool(peer.PoolConfig{
		Clock: clock,
	})
	defer pool.Close()
	s := &system{
		clock: clock,
	}
	w := newFakeWorker(s)
	w.setDown(true)
	address := make(chan string, 1)
	a := New(Config{
		ID:      "worker-0",
		Address: "127.0.0.1:0",
		Clock:   clock,
		Worker:  w.port(),
		Backend: newFakeBackend(s).port(),
		Peers:   pool,
		Listen: func(ctx context.Context, network, wanted string) (net.Listener, error) {
			listener, err := (&net.ListenConfig{}).Listen(ctx, network, wanted)
			if err == nil {
				address <- listener.Addr().String()
			}
			return listener, err
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Call(t.Context(), <-address, &peerpb.Request{
			Kind: &peerpb.Request_Serve{
				Serve: serveOf("job", 1),
			},
		})
		failed <- err
	}()
	require.Eventually(t, func() bool { return len(a.handled) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	err := <-failed
	require.Error(t, err)
	require.False(t, errors.Is(err, peer.ErrRemote) || errors.Is(err, peer.ErrNotSent), err)
}
