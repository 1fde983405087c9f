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

const testJob = "00000000000000aa"

// entryRig is a gateway with a store that answers as told.
type entryRig struct {
	gateway *Gateway
	mirror  *mirror.Mirror
	logs    *bytes.Buffer
	// age is how old the knowledge of both logs is.
	age time.Duration
	// answers are those of the store, the last one for good.
	answers []error
	relayed int
	relay   error
}

func newEntryRig(t *testing.T) *entryRig {
	t.Helper()
	r := &entryRig{
		logs:  &bytes.Buffer{},
		relay: fmt.Errorf("relay: %w", cell.ErrRefused),
	}
	r.mirror = mirror.New(mirror.Config{
		Logger: hclog.NewNullLogger(),
		Boot:   boottime.NewClock(),
		Decode: func(operations cell.Operations, _ cell.Entry) (cell.Operations, error) {
			return operations.WithConfig(cell.Config{
				Version:    3,
				Queues:     []cell.Queue{{Name: "quotes", Host: "h", Prefix: "/q/", Service: "desk"}},
				Workspaces: []cell.Workspace{{Name: "w", Keys: []string{"k"}}},
			}), nil
		},
	})
	r.gateway = New(Config{
		Logger:        hclog.New(&hclog.LoggerOptions{Output: r.logs, JSONFormat: true}),
		Clock:         clockwork.NewRealClock(),
		Boot:          boottime.NewClock(),
		Metrics:       tally.NoopScope,
		Mirror:        r.mirror,
		OperationsAge: func() (time.Duration, bool) { return r.age, true },
		StateAge:      func() (time.Duration, bool) { return r.age, true },
		KeyLimit:      5 * time.Second,
		Append: func(context.Context, []cell.Entry, *cell.Fence, int64) (int64, error) {
			err := r.answers[0]
			if len(r.answers) > 1 {
				r.answers = r.answers[1:]
			}
			return 0, err
		},
		Relay: func(context.Context, *cellpb.Append) error {
			r.relayed++
			return r.relay
		},
	})
	r.mirror.ApplyOperations([]cell.Entry{{Key: "config"}}, true)
	return r
}

func (r *entryRig) submit(t *testing.T, key string) cell.Answer {
	t.Helper()
	return r.gateway.Submit(t.Context(), cell.Call{
		Host:    "h",
		Path:    "/q/" + testJob,
		Key:     key,
		Timeout: 500 * time.Millisecond,
	}, &cellpb.Job{
		Steps: []*cellpb.Step{{Count: 1}},
	})
}

// "Not run" must be true: after an append whose outcome isn't known the job may run, whatever came afterwards.
func TestSubmitNeverSaysNotRunAfterAnUnknownAppend(t *testing.T) {
	unknown := fmt.Errorf("append: %w", cell.ErrUnknown)
	refused := fmt.Errorf("append: %w", cell.ErrRefused)
	tests := []struct {
		name    string
		answers []error
		relay   error
		want    cell.Outcome
	}{
		{name: "stored", answers: []error{nil}, relay: refused, want: cell.OutcomeOK},
		{name: "refused", answers: []error{refused}, relay: refused, want: cell.OutcomeNotRun},
		{name: "unknown, then refused", answers: []error{unknown, refused}, relay: refused, want: cell.OutcomeUnknown},
		{name: "refused, then unknown", answers: []error{refused, unknown}, relay: refused, want: cell.OutcomeUnknown},
		{name: "relay unknown", answers: []error{refused}, relay: unknown, want: cell.OutcomeUnknown},
		{name: "unknown, then stored", answers: []error{unknown, nil}, relay: refused, want: cell.OutcomeOK},
		{name: "stored by another entry", answers: []error{refused}, relay: nil, want: cell.OutcomeOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newEntryRig(t)
			r.answers = test.answers
			r.relay = test.relay
			require.Equal(t, test.want, r.submit(t, "k").Outcome)
		})
	}
}

// An entry that can't confirm the configuration must not take a key that may have been taken away, nor deny one that
// may have been added.
func TestStaleEntryTrustsNoKey(t *testing.T) {
	r := newEntryRig(t)
	r.answers = []error{nil}
	require.Equal(t, cell.OutcomeDenied, r.submit(t, "other").Outcome)
	r.age = 4800 * time.Millisecond
	require.Equal(t, cell.OutcomeUnavailable, r.submit(t, "k").Outcome)
	require.Equal(t, cell.OutcomeUnavailable, r.submit(t, "other").Outcome)
	require.False(t, r.gateway.Ready())
	require.Contains(t, r.logs.String(), `"job":"`+testJob+`"`, "the line of a refusal names the job")
}

// An entry that the store doesn't answer must not leave callers with an unknown outcome that nobody needs.
func TestEntryOutOfReachAsksOthersFirst(t *testing.T) {
	r := newEntryRig(t)
	r.answers = []error{fmt.Errorf("append: %w", cell.ErrUnknown)}
	r.age = 2 * time.Second
	answer := r.submit(t, "k")
	require.Equal(t, cell.OutcomeNotRun, answer.Outcome)
	require.Equal(t, 1, r.relayed)
}

// The same id is one job: a repeat is answered from what is known and stores nothing.
func TestRepeatStoresNothing(t *testing.T) {
	r := newEntryRig(t)
	entry, err := cell.JobEntry(&cellpb.Job{Id: testJob})
	require.NoError(t, err)
	r.mirror.ApplyCell([]cell.Entry{entry}, false)
	require.Equal(t, cell.OutcomeOK, r.submit(t, "k").Outcome)
}
