package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/connlimit"
)

// handleFunc handles a request of the peer protocol and returns the reply.
type handleFunc func(ctx context.Context, request *cellpb.Request) *cellpb.Reply

func newHandler(handle handleFunc) HandlerFunc {
	return func(ctx context.Context, read func(proto.Message) error) (proto.Message, error) {
		request := &cellpb.Request{}
		if err := read(request); err != nil {
			return nil, err
		}
		return handle(ctx, request), nil
	}
}

func startServer(t *testing.T, handle handleFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(ServerConfig{
			Limiter: connlimit.NewUnlimited(hclog.NewNullLogger(), clockwork.NewRealClock()),
			Handler: newHandler(handle),
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

func newRequest(key string) *cellpb.Request {
	return &cellpb.Request{
		Body: &cellpb.Request_Append{
			Append: &cellpb.Append{
				Key: key,
			},
		},
	}
}

func echo(_ context.Context, request *cellpb.Request) *cellpb.Reply {
	return &cellpb.Reply{
		Error: request.GetAppend().GetKey(),
	}
}

func call(ctx context.Context, pool *Pool, address, key string) (string, error) {
	reply := &cellpb.Reply{}
	err := pool.Call(ctx, address, newRequest(key), reply)
	return reply.GetError(), err
}

// TestCallMatchesRepliesToRequests guards against replies that reach the wrong caller when calls are concurrent.
func TestCallMatchesRepliesToRequests(t *testing.T) {
	address := startServer(t, func(ctx context.Context, request *cellpb.Request) *cellpb.Reply {
		if request.GetAppend().GetKey() == "slow" {
			<-time.After(50 * time.Millisecond) //nolint:forbidigo // a real delay makes the replies overtake each other.
		}
		return echo(ctx, request)
	})
	pool := newPool(t)
	results := make(chan string, 2)
	for _, key := range []string{"slow", "fast"} {
		go func() {
			reply, err := call(t.Context(), pool, address, key)
			if err != nil {
				results <- err.Error()
				return
			}
			results <- key + "=" + reply
		}()
	}
	require.ElementsMatch(t, []string{"slow=slow", "fast=fast"}, []string{<-results, <-results})
}

// TestCallErrors guards against an error that reports a request as not sent when its outcome is unknown.
func TestCallErrors(t *testing.T) {
	neverReply := func(ctx context.Context, _ *cellpb.Request) *cellpb.Reply {
		<-ctx.Done()
		return &cellpb.Reply{}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	for _, test := range []struct {
		name    string
		address string
		want    error
		notWant error
	}{
		{
			name:    "nothing listens",
			address: closedAddress,
			want:    ErrNotSent,
		},
		{
			name:    "no reply in time",
			address: startServer(t, neverReply),
			want:    context.DeadlineExceeded,
			notWant: ErrNotSent,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := call(ctx, newPool(t), test.address, "a")
			require.ErrorIs(t, err, test.want)
			if test.notWant != nil {
				require.NotErrorIs(t, err, test.notWant)
			}
		})
	}
}

// TestCallReconnects guards against a pool that keeps using a closed session after the peer was restarted.
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
				Limiter: connlimit.NewUnlimited(hclog.NewNullLogger(), clockwork.NewRealClock()),
				Handler: newHandler(echo),
			}).Serve(ctx, listener)
		}()
		require.Eventually(t, func() bool {
			_, callErr := call(t.Context(), pool, address, "a")
			return callErr == nil
		}, 5*time.Second, 10*time.Millisecond)
		cancel()
		require.NoError(t, <-done)
		listener, err = net.Listen("tcp", address)
		require.NoError(t, err)
	}
	require.NoError(t, listener.Close())
}

// Guards against a backoff that has passed before the dial has failed: a dial without an answer takes longer than the
// longest backoff, so that each call to an unreachable address would wait for another one.
func TestBackoffStartsWhenTheDialHasFailed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dials := 0
	pool := NewPool(PoolConfig{
		Clock: clock,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dials++
			clock.Advance(dialTimeout)
			return nil, context.DeadlineExceeded
		},
	})
	t.Cleanup(pool.Close)
	for range 2 {
		_, err := call(t.Context(), pool, "dead:1", "a")
		require.ErrorIs(t, err, ErrNotSent)
	}
	require.Equal(t, 1, dials)
	clock.Advance(2 * maxDialBackoff)
	_, err := call(t.Context(), pool, "dead:1", "a")
	require.ErrorIs(t, err, ErrNotSent)
	require.Equal(t, 2, dials)
}
