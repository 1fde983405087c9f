package recovery

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Guards against a panic in one call that ends the process, or that nobody learns of.
func TestRunRecoversFromPanic(t *testing.T) {
	logs := &bytes.Buffer{}
	logger := hclog.New(&hclog.LoggerOptions{Output: logs, JSONFormat: true})
	metrics := tally.NewTestScope("", nil)
	err := Run(logger, metrics, "calls", func() error { panic("malformed") })
	require.ErrorIs(t, err, ErrPanic)
	require.Contains(t, logs.String(), "malformed")
	require.Contains(t, logs.String(), "TestRunRecoversFromPanic", "the stack")
	require.EqualValues(t, 1, metrics.Snapshot().Counters()["panics+component=calls"].Value())

	errOther := errors.New("other")
	require.ErrorIs(t, Run(logger, metrics, "calls", func() error { return errOther }), errOther)
}

// Guards against a server that answers no further requests after a panic, and against a reply that claims an outcome.
func TestHandlerClosesConnectionOfPanickingRequest(t *testing.T) {
	handler := Handler(hclog.NewNullLogger(), tally.NoopScope, "calls",
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				panic("malformed")
			}
			_, _ = io.WriteString(w, "ok")
		}))
	server := httptest.NewServer(handler)
	defer server.Close()
	_, err := http.Get(server.URL + "/panic")
	require.Error(t, err)
	response, err := http.Get(server.URL + "/")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
