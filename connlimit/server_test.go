package connlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// serve runs a server that repeats bodies of up to 10 bytes and returns its address.
func serve(t *testing.T, l *Limiter) string {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := l.NewServer(ServerConfig{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		}),
		MaxHead:  4 << 10,
		MaxBody:  func() int64 { return 10 },
		BodyCost: 10,
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(l.Listen(inner)) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return inner.Addr().String()
}

// Guards against refusals that look like answers of the handler, and against a request inside the limits that is
// refused.
func TestServerReadsRequestsWithinLimits(t *testing.T) {
	l := newTestLimiter()
	address := serve(t, l)
	tests := []struct {
		name       string
		body       string
		busy       bool
		wantStatus int
		wantBody   string
		wantRetry  string
	}{
		{name: "inside the limits", body: "0123456789", wantStatus: http.StatusOK, wantBody: "0123456789"},
		{name: "no body", wantStatus: http.StatusOK},
		{
			name:       "too large",
			body:       "0123456789a",
			wantStatus: http.StatusRequestEntityTooLarge,
			wantBody:   errTooLarge.Error() + "\n",
		},
		{
			name:       "others hold the memory",
			body:       "0123456789",
			busy:       true,
			wantStatus: http.StatusServiceUnavailable,
			wantBody:   ErrBusy.Error() + "\n",
			wantRetry:  retryAfter,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.busy {
				other, ok := connect(l)
				require.True(t, ok)
				require.True(t, other.Hold(50))
				other.Serve()
				defer func() { _ = other.Close() }()
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address,
				strings.NewReader(test.body))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.wantStatus, response.StatusCode)
			require.Equal(t, test.wantBody, string(body))
			require.Equal(t, test.wantRetry, response.Header.Get("Retry-After"))
		})
	}
}
