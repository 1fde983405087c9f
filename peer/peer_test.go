package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

func startServer(t *testing.T, handle HandleFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(ServerConfig{
			Handle: handle,
		}).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	pool := NewPool(PoolConfig{
		Clock: clockwork.NewRealClock(),
	})
	t.Cleanup(pool.Close)
	return pool
}

func lookup(job string) *peerpb.Request {
	return &peerpb.Request{
		Kind: &peerpb.Request_Lookup{
			Lookup: &peerpb.Lookup{
				Job: job,
			},
		},
	}
}

func echo(_ context.Context, request *peerpb.Request) *peerpb.Reply {
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Lookup{
			Lookup: &peerpb.LookupReply{
				Known: true,
				State: request.GetLookup().GetJob(),
			},
		},
	}
}

// TestCallMatchesRepliesToRequests guards against replies that reach the wrong caller when calls overlap.
func TestCallMatchesRepliesToRequests(t *testing.T) {
	address := startServer(t, func(ctx context.Context, request *peerpb.Request) *peerpb.Reply {
		if request.GetLookup().GetJob() == "slow" {
			<-time.After(50 * time.Millisecond) //nolint:forbidigo // a real delay makes the replies overtake each other.
		}
		return echo(ctx, request)
	})
	pool := newPool(t)
	results := make(chan string, 2)
	for _, job := range []string{"slow", "fast"} {
		go func() {
			reply, err := pool.Call(t.Context(), address, lookup(job))
			if err != nil {
				results <- err.Error()
				return
			}
			results <- job + "=" + reply.GetLookup().GetState()
		}()
	}
	require.ElementsMatch(t, []string{"slow=slow", "fast=fast"}, []string{<-results, <-results})
}

// TestCallErrors guards against callers that take an unknown outcome for a definite one.
func TestCallErrors(t *testing.T) {
	refuse := func(context.Context, *peerpb.Request) *peerpb.Reply {
		return &peerpb.Reply{
			Error: "full",
		}
	}
	hang := func(ctx context.Context, _ *peerpb.Request) *peerpb.Reply {
		<-ctx.Done()
		return &peerpb.Reply{}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	require.NoError(t, listener.Close())
	for _, test := range []struct {
		name    string
		address string
		want    error
		not     error
	}{
		{
			name:    "nothing listens",
			address: closed,
			want:    ErrNotSent,
		},
		{
			name:    "peer refuses",
			address: startServer(t, refuse),
			want:    ErrRemote,
		},
		{
			name:    "no reply in time",
			address: startServer(t, hang),
			want:    context.DeadlineExceeded,
			not:     ErrNotSent,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := newPool(t).Call(ctx, test.address, lookup("a"))
			require.ErrorIs(t, err, test.want)
			if test.not != nil {
				require.NotErrorIs(t, err, test.not)
			}
		})
	}
}

// TestCallReconnects guards against a pool that keeps a dead session after the peer was restarted.
func TestCallReconnects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	pool := newPool(t)
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- NewServer(ServerConfig{
				Handle: echo,
			}).Serve(ctx, listener)
		}()
		require.Eventually(t, func() bool {
			_, callErr := pool.Call(t.Context(), address, lookup("a"))
			return callErr == nil
		}, 5*time.Second, 10*time.Millisecond)
		cancel()
		require.NoError(t, <-done)
		listener, err = net.Listen("tcp", address)
		require.NoError(t, err)
	}
	require.NoError(t, listener.Close())
}
