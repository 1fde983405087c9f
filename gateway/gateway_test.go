package gateway

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/mirror"
)

const testJobID = "00000000000000aa"

// gatewayFixture is a Gateway whose store and relay return configured errors.
type gatewayFixture struct {
	gateway *Gateway
	mirror  *mirror.Mirror
	logs    *bytes.Buffer
	// age is the age of the data read from both logs.
	age time.Duration
	// appendErrs are the results of successive appends; the last one repeats.
	appendErrs []error
	relayCalls int
	relayErr   error
}

func newGatewayFixture(t *testing.T) *gatewayFixture {
	t.Helper()
	f := &gatewayFixture{
		logs:     &bytes.Buffer{},
		relayErr: fmt.Errorf("relay: %w", cell.ErrRejected),
	}
	f.mirror = mirror.New(mirror.Config{
		Logger:   hclog.NewNullLogger(),
		BootTime: boottime.NewClock(),
		ApplyRecord: func(operations cell.Operations, _ cell.LogRecord) (cell.Operations, error) {
			return operations.WithConfig(cell.Config{
				Version:    3,
				Queues:     []cell.Queue{{Name: "quotes", Host: "h", Prefix: "/q/", Service: "desk"}},
				Workspaces: []cell.Workspace{{Name: "w", APIKeys: []string{"k"}}},
			}), nil
		},
	})
	f.gateway = New(Config{
		Logger:             hclog.New(&hclog.LoggerOptions{Output: f.logs, JSONFormat: true}),
		Clock:              clockwork.NewRealClock(),
		BootTime:           boottime.NewClock(),
		Metrics:            tally.NoopScope,
		Mirror:             f.mirror,
		OperationsAge:      func() (time.Duration, bool) { return f.age, true },
		StateAge:           func() (time.Duration, bool) { return f.age, true },
		KeyRevocationLimit: 5 * time.Second,
		Append: func(context.Context, []cell.LogRecord, *cell.Fence, int64) (int64, error) {
			err := f.appendErrs[0]
			if len(f.appendErrs) > 1 {
				f.appendErrs = f.appendErrs[1:]
			}
			return 0, err
		},
		RelayAppend: func(context.Context, *cellpb.Append) error {
			f.relayCalls++
			return f.relayErr
		},
	})
	f.mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
	return f
}

func (f *gatewayFixture) submit(t *testing.T, key string) cell.Response {
	t.Helper()
	return f.gateway.Submit(t.Context(), cell.Call{
		Host:    "h",
		Path:    "/q/" + testJobID,
		APIKey:  key,
		Timeout: 500 * time.Millisecond,
	}, &cellpb.Job{
		Occurrences: 1,
		Steps:       []*cellpb.Step{{Count: 1}},
	})
}

// storeJob puts a job of a workspace into the mirror.
func (f *gatewayFixture) storeJob(t *testing.T, workspace string) {
	t.Helper()
	record, err := cell.JobRecord(&cellpb.Job{
		Id:          testJobID,
		Workspace:   workspace,
		Occurrences: 1,
		Steps:       []*cellpb.Step{{Count: 1}},
	})
	require.NoError(t, err)
	f.mirror.ApplyCell([]cell.LogRecord{record}, false)
}

// Guards against the outcome "not run" for a job that may run: after an append with an unknown outcome, no rejection of
// a later attempt proves that the job isn't stored.
func TestSubmitKeepsUnknownOutcomeAfterLaterRejection(t *testing.T) {
	errUnknown := fmt.Errorf("append: %w", cell.ErrOutcomeUnknown)
	errRejected := fmt.Errorf("append: %w", cell.ErrRejected)
	tests := []struct {
		name       string
		appendErrs []error
		relayErr   error
		want       cell.Outcome
	}{
		{name: "stored", appendErrs: []error{nil}, relayErr: errRejected, want: cell.OutcomeOK},
		{name: "rejected", appendErrs: []error{errRejected}, relayErr: errRejected, want: cell.OutcomeNotRun},
		{
			name: "unknown, then rejected", appendErrs: []error{errUnknown, errRejected}, relayErr: errRejected,
			want: cell.OutcomeUnknown,
		},
		{
			name: "rejected, then unknown", appendErrs: []error{errRejected, errUnknown}, relayErr: errRejected,
			want: cell.OutcomeUnknown,
		},
		{name: "relay unknown", appendErrs: []error{errRejected}, relayErr: errUnknown, want: cell.OutcomeUnknown},
		{name: "unknown, then stored", appendErrs: []error{errUnknown, nil}, relayErr: errRejected, want: cell.OutcomeOK},
		{name: "stored by another entry", appendErrs: []error{errRejected}, relayErr: nil, want: cell.OutcomeOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			f.appendErrs = test.appendErrs
			f.relayErr = test.relayErr
			require.Equal(t, test.want, f.submit(t, "k").Outcome)
		})
	}
}

// Guards against an entry with an outdated configuration that accepts a removed API key or rejects an added one.
func TestSubmitIsUnavailableWithStaleConfig(t *testing.T) {
	f := newGatewayFixture(t)
	f.appendErrs = []error{nil}
	require.Equal(t, cell.OutcomeDenied, f.submit(t, "other").Outcome)
	f.age = 4800 * time.Millisecond
	require.Equal(t, cell.OutcomeUnavailable, f.submit(t, "k").Outcome)
	require.Equal(t, cell.OutcomeUnavailable, f.submit(t, "other").Outcome)
	require.False(t, f.gateway.Ready())
	require.Contains(t, f.logs.String(), `"job":"`+testJobID+`"`, "the log line of a rejection has the job id")
}

// Guards against needless unknown outcomes while the store is unreachable: a direct append would time out, so the entry
// must use the relay from the first attempt.
func TestSubmitUsesRelayWhileStoreIsUnreachable(t *testing.T) {
	f := newGatewayFixture(t)
	f.appendErrs = []error{fmt.Errorf("append: %w", cell.ErrOutcomeUnknown)}
	f.age = 2 * time.Second
	response := f.submit(t, "k")
	require.Equal(t, cell.OutcomeNotRun, response.Outcome)
	require.Equal(t, 1, f.relayCalls)
}

// Guards against storing a job again when it is submitted a second time under the same id.
func TestSubmitOfKnownJobStoresNothing(t *testing.T) {
	f := newGatewayFixture(t)
	f.storeJob(t, "w")
	require.Equal(t, cell.OutcomeOK, f.submit(t, "k").Outcome)
}

// Guards against a key of one workspace that opens the jobs of another: its calls must get the replies for an id that
// names no job, and change nothing.
func TestCallsWithKeyOfAnotherWorkspace(t *testing.T) {
	call := cell.Call{
		Host:    "h",
		Path:    "/q/" + testJobID,
		APIKey:  "k",
		Timeout: 500 * time.Millisecond,
	}
	tests := []struct {
		name string
		call func(f *gatewayFixture) cell.Response
		want cell.Outcome
	}{
		{
			name: "lookup",
			call: func(f *gatewayFixture) cell.Response { return f.gateway.Lookup(t.Context(), call) },
			want: cell.OutcomeNoJob,
		},
		{
			name: "cancel",
			call: func(f *gatewayFixture) cell.Response { return f.gateway.Cancel(t.Context(), call) },
			want: cell.OutcomeNoJob,
		},
		{
			name: "submit",
			call: func(f *gatewayFixture) cell.Response { return f.submit(t, "k") },
			want: cell.OutcomeInvalid,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			f.storeJob(t, "other")
			response := test.call(f)
			require.Equal(t, test.want, response.Outcome)
			require.NotContains(t, response.Reason, "other")
			jobState, ok := f.mirror.Job(testJobID)
			require.True(t, ok)
			require.False(t, jobState.Cancelled)
		})
		t.Run(test.name+" with the stale log", func(t *testing.T) {
			f := newGatewayFixture(t)
			f.age = maxStateAge + 100*time.Millisecond
			f.appendErrs = []error{nil}
			absent := test.call(f)
			f.storeJob(t, "other")
			if test.want == cell.OutcomeNoJob {
				require.Equal(t, absent, test.call(f), "as for an id without a job")
			}
		})
	}
}

// Guards against callers of an anonymous queue who can't see their jobs, whatever key they send.
func TestAnonymousQueueNeedsNoKey(t *testing.T) {
	require.True(t, visibleTo(cell.Queue{Anonymous: true}, "")(&cellpb.Job{Workspace: "w"}))
	require.True(t, visibleTo(cell.Queue{}, "w")(&cellpb.Job{}), "jobs of no workspace were submitted without a key")
	require.False(t, visibleTo(cell.Queue{}, "")(&cellpb.Job{Workspace: "w"}))
}
