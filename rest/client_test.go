package rest_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/rest"
)

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func hang(w http.ResponseWriter, r *http.Request) {
	// The server notices that the client is gone only after it has read the body.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	w.WriteHeader(http.StatusNoContent)
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// TestDoSeparatesRejectedFromUnknown guards against a call that may have taken effect being reported as not done.
func TestDoSeparatesRejectedFromUnknown(t *testing.T) {
	for _, test := range []struct {
		name     string
		address  string
		rejected bool
	}{
		{
			name:     "nothing listens",
			address:  closedAddress(t),
			rejected: true,
		},
		{
			name:     "status 503",
			address:  serve(t, status(http.StatusServiceUnavailable)),
			rejected: true,
		},
		{
			name:     "status 412",
			address:  serve(t, status(http.StatusPreconditionFailed)),
			rejected: true,
		},
		{
			name:    "status 500",
			address: serve(t, status(http.StatusInternalServerError)),
		},
		{
			name:    "connection closed without an answer",
			address: serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		},
		{
			name:    "no answer in time",
			address: serve(t, hang),
		},
		{
			name:    "answer that cannot be decoded",
			address: serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"offset":`)) }),
		},
		{
			name: "answer cut off",
			address: serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte(`{"offset":1`))
			}),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply := struct{}{}
			err := rest.New(rest.Config{
				Address: test.address,
			}).Do(ctx, http.MethodPost, "/", []byte("body"), &reply)
			if test.rejected {
				require.ErrorIs(t, err, rest.ErrRejected)
				return
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, rest.ErrRejected)
		})
	}
}

// TestDoWaitsForConnection guards against more connections than the limit, and against an unknown outcome for a call
// that never got a connection.
func TestDoWaitsForConnection(t *testing.T) {
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	client := rest.New(rest.Config{
		Address:     address,
		Connections: 1,
	})
	first := make(chan error, 1)
	go func() { first <- client.Do(t.Context(), http.MethodPost, "/", nil, nil) }()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, client.Do(ctx, http.MethodPost, "/", nil, nil), rest.ErrRejected)
	close(release)
	require.NoError(t, <-first)
	require.Empty(t, arrived)
}

// failingTransport fails with an error after it has had a connection.
type failingTransport struct {
	err error
}

func (f failingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{
		Reused: true,
	})
	return nil, f.err
}

// TestDoAfterIdleConnection guards against an unknown outcome for a call that found its idle connection closed and
// then nobody listening, and against a refusal for one that failed on the connection.
func TestDoAfterIdleConnection(t *testing.T) {
	for _, operation := range []string{"dial", "read", "write"} {
		err := rest.New(rest.Config{
			Client: &http.Client{
				Transport: failingTransport{
					err: &net.OpError{
						Op:  operation,
						Err: io.ErrUnexpectedEOF,
					},
				},
			},
		}).Do(t.Context(), http.MethodPost, "/", nil, nil)
		require.Error(t, err)
		require.Equal(t, operation == "dial", errors.Is(err, rest.ErrRejected), operation)
	}
}
