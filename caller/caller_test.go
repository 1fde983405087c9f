package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func testStatus(id string, state State, workspace string) Status {
	return Status{
		ID:        id,
		State:     state,
		Workspace: workspace,
	}
}

// testConfig returns a configuration whose functions report running jobs of workspace weddings.
func testConfig() ServerConfig {
	running := func(id string) (Status, error) { return testStatus(id, StateRunning, "weddings"), nil }
	return ServerConfig{
		Clock: clockwork.NewRealClock(),
		Submit: func(_ context.Context, job *Job, _ time.Duration) (Status, error) {
			return running(job.ID)
		},
		Lookup:       func(_ context.Context, _, id string, _ time.Duration) (Status, error) { return running(id) },
		Cancel:       func(_ context.Context, _, id string) (Status, error) { return running(id) },
		Authenticate: func(token string) (string, bool) { return "weddings", token == "secret" },
		Ready:        func() error { return nil },
	}
}

func serveRequest(t *testing.T, handler http.Handler, method, path, token, body string) (int, string) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

// TestReplyStatusCodes guards against telling a caller that a job is not run or does not exist when that isn't certain.
func TestReplyStatusCodes(t *testing.T) {
	for _, test := range []struct {
		name       string
		state      State
		err        error
		postCode   int
		getCode    int
		deleteCode int
	}{
		{name: "done", state: StateDone, postCode: 200, getCode: 200, deleteCode: 200},
		{name: "cancelled", state: StateCancelled, postCode: 200, getCode: 200, deleteCode: 200},
		{name: "queued", state: StateQueued, postCode: 202, getCode: 202, deleteCode: 202},
		{name: "unknown", state: StateUnknown, postCode: 202, getCode: 202, deleteCode: 202},
		{name: "over a limit", err: fmt.Errorf("rate: %w", ErrLimitExceeded), postCode: 429, getCode: 202, deleteCode: 202},
		{name: "not accepted", err: fmt.Errorf("log: %w", ErrNotAccepted), postCode: 503, getCode: 202, deleteCode: 202},
		{name: "not found", err: fmt.Errorf("no: %w", ErrNotFound), postCode: 202, getCode: 404, deleteCode: 404},
		{name: "other error", err: errors.New("timeout"), postCode: 202, getCode: 202, deleteCode: 202},
		{
			name: "findings", err: Findings{{Field: "members", Problem: "too many"}},
			postCode: 400, getCode: 202, deleteCode: 202,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			status := testStatus("a", test.state, "weddings")
			config := testConfig()
			config.Submit = func(context.Context, *Job, time.Duration) (Status, error) { return status, test.err }
			config.Lookup = func(context.Context, string, string, time.Duration) (Status, error) { return status, test.err }
			config.Cancel = func(context.Context, string, string) (Status, error) { return status, test.err }
			handler := NewServer(config).Handler()
			code, body := serveRequest(t, handler, http.MethodPost, "/v1/jobs", "secret", `{"id":"00000000000000aa"}`)
			require.Equal(t, test.postCode, code, body)
			code, body = serveRequest(t, handler, http.MethodGet, "/v1/jobs/a", "secret", "")
			require.Equal(t, test.getCode, code, body)
			code, body = serveRequest(t, handler, http.MethodDelete, "/v1/jobs/a", "secret", "")
			require.Equal(t, test.deleteCode, code, body)
		})
	}
}

// TestFindings guards against reporting only the first problem, ignoring unknown fields, and submitting invalid jobs.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		name string
		path string
		body string
		want []string
	}{
		{
			name: "several at once",
			path: "/v1/jobs?wait=soon",
			body: `{"id":"a","members":0,"accelerators":"x","memory":1.5,"scope":"zone","declared":"10","prio":1,"zz":2}`,
			want: []string{"wait", "accelerators", "declared", "id", "memory", "prio", "scope", "zz", "members"},
		},
		{name: "not an object", path: "/v1/jobs", body: `[1]`, want: []string{""}},
		{name: "cut off", path: "/v1/jobs", body: `{"id":"00000000000000aa"`, want: []string{""}},
		{name: "trailing data", path: "/v1/jobs", body: `{"id":"00000000000000aa"}{}`, want: []string{""}},
		{name: "field twice", path: "/v1/jobs", body: `{"members":1,"members":2}`, want: []string{""}},
		{name: "too many members", path: "/v1/jobs", body: `{"members":1025}`, want: []string{"members"}},
		{name: "negative run time", path: "/v1/jobs", body: `{"declared":"-1s"}`, want: []string{"declared"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			config.Submit = func(context.Context, *Job, time.Duration) (Status, error) {
				t.Error("an invalid job was submitted")
				return Status{}, nil
			}
			code, body := serveRequest(t, NewServer(config).Handler(), http.MethodPost, test.path, "secret", test.body)
			require.Equal(t, http.StatusBadRequest, code)
			var reply struct{ Findings []Finding }
			require.NoError(t, json.Unmarshal([]byte(body), &reply))
			var fields []string
			for _, finding := range reply.Findings {
				fields = append(fields, finding.Field)
			}
			require.Equal(t, test.want, fields, body)
		})
	}
}

// TestSubmissionIsPassedUnchanged guards against a payload or field that is altered between the request and Submit.
func TestSubmissionIsPassedUnchanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	config := testConfig()
	config.Clock = clock
	var job *Job
	config.Submit = func(_ context.Context, got *Job, wait time.Duration) (Status, error) {
		job = got
		require.Equal(t, maxWait, wait)
		return testStatus("", StateQueued, "weddings"), nil
	}
	code, _ := serveRequest(t, NewServer(config).Handler(), http.MethodPost, "/v1/jobs?wait=10h", "secret",
		`{"queue":"renders","members":2,"memory":7,"scope":"rack","declared":"10m","payload":{"b": 1.0}}`)
	require.Equal(t, http.StatusAccepted, code)
	require.True(t, validID(job.ID), "an id is assigned: %s", job.ID)
	require.Equal(t, "weddings", job.Workspace)
	require.Equal(t, "renders", job.Queue)
	require.Equal(t, `{"b": 1.0}`, string(job.Payload))
	require.Equal(t, ScopeRack, job.Scope)
	require.Equal(t, int64(7), job.MemoryBytes)
	require.Equal(t, 10*time.Minute, job.Declared)
}

// TestWorkspaceIsolation guards against calls without a valid token, and against a caller that learns about a job of
// another workspace.
func TestWorkspaceIsolation(t *testing.T) {
	config := testConfig()
	config.Lookup = func(_ context.Context, _, id string, _ time.Duration) (Status, error) {
		if id == "absent" {
			return Status{}, ErrNotFound
		}
		status := testStatus(id, StateDone, "funerals")
		status.Reasons = []string{"private"}
		return status, nil
	}
	config.Cancel = func(ctx context.Context, workspace, id string) (Status, error) {
		return config.Lookup(ctx, workspace, id, 0)
	}
	config.Submit = func(ctx context.Context, job *Job, wait time.Duration) (Status, error) {
		return config.Lookup(ctx, "", job.ID, wait)
	}
	handler := NewServer(config).Handler()
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		code, body := serveRequest(t, handler, method, "/v1/jobs/foreign", "secret", "")
		absentCode, absentBody := serveRequest(t, handler, method, "/v1/jobs/absent", "secret", "")
		require.Equal(t, http.StatusNotFound, code)
		require.Equal(t, absentCode, code)
		require.Equal(t, absentBody, body)
	}
	code, body := serveRequest(t, handler, http.MethodPost, "/v1/jobs", "secret", `{"id":"00000000000000ff"}`)
	require.Equal(t, http.StatusBadRequest, code)
	require.NotContains(t, body, "private")
	for _, token := range []string{"", "wrong", "sha256:00"} {
		code, _ = serveRequest(t, handler, http.MethodGet, "/v1/jobs/a", token, "")
		require.Equal(t, http.StatusUnauthorized, code)
	}
}

// TestLimits guards against large bodies or too many concurrent calls that exhaust the memory of the process.
func TestLimits(t *testing.T) {
	config := testConfig()
	config.MaxWaitingCalls = 1
	config.MaxCalls = 2
	entered := make(chan time.Duration, 2)
	release := make(chan struct{})
	config.Lookup = func(_ context.Context, workspace, id string, wait time.Duration) (Status, error) {
		entered <- wait
		<-release
		return testStatus(id, StateQueued, workspace), nil
	}
	handler := NewServer(config).Handler()
	codes := make(chan int, 2)
	for _, want := range []time.Duration{time.Second, 0} {
		go func() {
			code, _ := serveRequest(t, handler, http.MethodGet, "/v1/jobs/a?wait=1s", "secret", "")
			codes <- code
		}()
		require.Equal(t, want, <-entered)
	}
	code, _ := serveRequest(t, handler, http.MethodPost, "/v1/jobs", "secret", `{}`)
	require.Equal(t, http.StatusServiceUnavailable, code)
	close(release)
	require.Equal(t, []int{http.StatusAccepted, http.StatusAccepted}, []int{<-codes, <-codes})
	large := `{"payload":"` + strings.Repeat("x", maxBodyBytes) + `"}`
	code, _ = serveRequest(t, handler, http.MethodPost, "/v1/jobs", "secret", large)
	require.Equal(t, http.StatusRequestEntityTooLarge, code)
}

// TestShutdown guards against a shutdown that interrupts a waiting call, or that ends waits before the load balancer
// can see that /readyz fails.
func TestShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	clock := clockwork.NewFakeClock()
	config := testConfig()
	config.Clock = clock
	entered := make(chan struct{})
	config.Submit = func(ctx context.Context, _ *Job, _ time.Duration) (Status, error) {
		close(entered)
		<-ctx.Done()
		return Status{}, context.Cause(ctx)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewServer(config).Serve(ctx, listener) }()
	replies := make(chan string, 1)
	url := "http://" + listener.Addr().String()
	go func() {
		replies <- sendRequest(t, http.MethodPost, url+"/v1/jobs?wait=50s", `{"id":"00000000000000aa"}`)
	}()
	<-entered
	require.Contains(t, sendRequest(t, http.MethodGet, url+"/readyz", ""), "200")
	cancel()
	require.Eventually(t, func() bool {
		return strings.HasPrefix(sendRequest(t, http.MethodGet, url+"/readyz", ""), "503")
	}, time.Minute, time.Millisecond)
	require.Empty(t, replies)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(defaultDrainDelay)
	require.Equal(t, `202 {"id":"00000000000000aa","state":"running","workspace":"weddings","reasons":[]}`, <-replies)
	require.NoError(t, <-done)
}

func sendRequest(t *testing.T, method, url, body string) string {
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer secret")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode, " ", string(data))
}

// TestNotReady guards against an entry without a document that replies 401 to tokens that it can't check, and against
// an entry that isn't ready and rejects valid tokens.
func TestNotReady(t *testing.T) {
	config := testConfig()
	config.Ready = func() error { return errors.New("no document yet") }
	handler := NewServer(config).Handler()
	code, body := serveRequest(t, handler, http.MethodGet, "/v1/jobs/a", "other", "")
	require.Equal(t, http.StatusServiceUnavailable, code, body)
	code, body = serveRequest(t, handler, http.MethodGet, "/v1/jobs/a", "secret", "")
	require.Equal(t, http.StatusAccepted, code, body)
}
