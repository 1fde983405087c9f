package cluster

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// A cancellation whose response is lost may be in force. It must not count as rejected, or a cancelled job is reported
// as a violation (soak seed 66).
func TestCancelOutcome(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		abort  bool
		want   Outcome
	}{
		{
			name:   "accepted",
			status: http.StatusOK,
			want:   Accepted,
		},
		{
			name:   "not run",
			status: http.StatusServiceUnavailable,
			want:   Rejected,
		},
		{
			name:   "too many requests",
			status: http.StatusTooManyRequests,
			want:   Rejected,
		},
		{
			name:   "store unresponsive",
			status: http.StatusGatewayTimeout,
			want:   Unknown,
		},
		{
			name:  "response lost",
			abort: true,
			want:  Unknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.abort {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			client := NewClient(clockwork.NewRealClock())
			entry := strings.TrimPrefix(server.URL, "http://")
			assert.Equal(t, test.want, client.Cancel(t.Context(), entry, Job{ID: "a"}))
		})
	}
}
