package operator_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/standin/storeserver"
)

const documentText = `# Comments are preserved.
[queue "quotes"]
host = desk.example

[zone "suva"]
state = in ; for now
`

// publisherFixture is a publisher with hooks that simulate concurrent writers and failing appends.
type publisherFixture struct {
	*operator.Publisher
	store *storeserver.Server
	// beforeAppend runs once before the next append to the operators' log, afterAppend once after it. The error of
	// afterAppend replaces the result of the append.
	beforeAppend func()
	afterAppend  func() error
}

func newPublisherFixture(t *testing.T) *publisherFixture {
	t.Helper()
	f := &publisherFixture{
		store: storeserver.New(clockwork.NewRealClock()),
	}
	server := httptest.NewServer(f.store.Endpoint())
	t.Cleanup(server.Close)
	store := platform.NewStore(platform.StoreConfig{
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	operations, documents := store.Operations(), store.Topic("keyed.document")
	f.Publisher = operator.NewPublisher(operator.PublisherConfig{
		Logger: hclog.NewNullLogger(),
		Clock:  clockwork.NewRealClock(),
		Author: "ana",
		Operations: operator.KeyedLog{
			ReadLatest: operations.ReadLatest,
			Append: func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error) {
				if hook := f.beforeAppend; hook != nil {
					f.beforeAppend = nil
					hook()
				}
				offset, err := operations.Append(ctx, records, fence, expectedEnd)
				if hook := f.afterAppend; hook != nil {
					f.afterAppend = nil
					return 0, hook()
				}
				return offset, err
			},
		},
		Documents: operator.KeyedLog{
			ReadLatest: documents.ReadLatest,
			Append:     documents.Append,
		},
		ApplyRecord: platform.ApplyOperation,
		DiffRecords: platform.DiffOperations,
	})
	return f
}

func (f *publisherFixture) current(t *testing.T) operator.Document {
	t.Helper()
	current, err := f.Current(t.Context())
	require.NoError(t, err)
	return current
}

// TestPublish verifies that a publish never reports success if it was lost or overwritten, however its append ends.
func TestPublish(t *testing.T) {
	errUnknown := fmt.Errorf("append: %w", cell.ErrOutcomeUnknown)
	tests := []struct {
		name         string
		base         int64
		beforeAppend func(f *publisherFixture)
		afterAppend  func(f *publisherFixture) error
		err          error
		// conflict is set if ConflictError is expected.
		conflict bool
		// zonesOut lists the zones that are out of service afterwards.
		zonesOut []string
	}{
		{name: "first"},
		{name: "base revision is not current", base: 3, conflict: true},
		{name: "concurrent publish", conflict: true, beforeAppend: func(f *publisherFixture) {
			f.store.AppendOperation("config", []byte(`{"version":1}`))
		}},
		{name: "concurrent unrelated record", zonesOut: []string{"nadi"}, beforeAppend: func(f *publisherFixture) {
			f.store.AppendOperation("wave/1", []byte(`{}`))
		}},
		{name: "append succeeded, reply lost", afterAppend: func(*publisherFixture) error { return errUnknown }},
		{name: "append lost or delayed", err: operator.ErrOutcomeUnknown, beforeAppend: func(f *publisherFixture) {
			f.store.AppendOperation("wave/1", []byte(`{}`))
		}, afterAppend: func(*publisherFixture) error { return errUnknown }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPublisherFixture(t)
			if test.beforeAppend != nil {
				f.beforeAppend = func() { test.beforeAppend(f) }
			}
			if test.afterAppend != nil {
				f.afterAppend = func() error { return test.afterAppend(f) }
			}
			published, err := f.Publish(t.Context(), test.base, documentText)
			var conflict *operator.ConflictError
			switch {
			case test.conflict:
				require.ErrorAs(t, err, &conflict)
				require.NotEmpty(t, conflict.Diff)
				return
			case test.err != nil:
				require.ErrorIs(t, err, test.err)
				return
			}
			require.NoError(t, err)
			require.EqualValues(t, 1, published.Revision)
			current := f.current(t)
			require.EqualValues(t, 1, current.Revision)
			require.Equal(t, documentText, current.Text)
			history, err := f.History(t.Context())
			require.NoError(t, err)
			require.Len(t, history, 1)
			require.Equal(t, "ana", history[0].Author)
		})
	}
}

// TestCurrentIncludesChangesOfOtherTools verifies that changes by other tools are part of the current document.
// Otherwise the next publish would silently revert them.
func TestCurrentIncludesChangesOfOtherTools(t *testing.T) {
	tests := []struct {
		name  string
		write func(store *storeserver.Server)
		want  string
	}{
		{
			name: "zone of the document", want: strings.Replace(documentText, "state = in", "state = out", 1),
			write: func(store *storeserver.Server) { store.AppendOperation("evacuate/suva", []byte(`{}`)) },
		},
		{
			name: "zone not in the document", want: documentText + "\n[zone \"nadi\"]\nstate = out\n",
			write: func(store *storeserver.Server) { store.AppendOperation("evacuate/nadi", []byte(`{}`)) },
		},
		{name: "configuration", want: "[service]\nname = desk\n\n[queue \"q\"]\nhost = h\nprefix = /q/\npriority = 0\n" +
			"failures = 2\nstretch = 1.5\nslack = 250ms\n", write: func(store *storeserver.Server) {
			store.AppendOperation("config", []byte(`{"version":9,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",`+
				`"service":"desk","maxAttempts":2,"stretch":1.5,"targetLatencyMs":250}]}`))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPublisherFixture(t)
			_, err := f.Publish(t.Context(), 0, documentText)
			require.NoError(t, err)
			test.write(f.store)
			require.Equal(t, test.want, f.current(t).Text)
		})
	}
}

// TestRolloutWaiterReportsLaggingEntries verifies that Wait returns the ids of the entries that have not applied a
// publish, and does not wait for those that have.
func TestRolloutWaiterReportsLaggingEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	waiter := operator.NewRolloutWaiter(operator.RolloutWaiterConfig{
		Clock: clock,
		Entries: func(context.Context) (map[string]string, error) {
			return map[string]string{"entry-1": "ahead", "entry-2": "behind", "entry-3": "gone"}, nil
		},
		NextOffset: func(_ context.Context, address string) (int64, error) {
			switch address {
			case "ahead":
				return 8, nil
			case "behind":
				return 7, nil
			}
			return 0, fmt.Errorf("no answer")
		},
	})
	lagging, err := waiter.Wait(t.Context(), 7, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"entry-2", "entry-3"}, lagging)

	result := make(chan []string, 1)
	go func() {
		lagging, waitErr := waiter.Wait(t.Context(), 6, time.Second)
		if waitErr != nil {
			lagging = []string{waitErr.Error()}
		}
		result <- lagging
	}()
	for range 5 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(200 * time.Millisecond)
	}
	require.Equal(t, []string{"entry-3"}, <-result)
}

// Guards against an odd record in the operators' log over which no operator can publish, or only a revision below the
// one that the entries still use, which they would ignore.
func TestPublishOverOddRecord(t *testing.T) {
	const text = "[service]\nname = desk\n"
	f := newPublisherFixture(t)
	for base := range int64(3) {
		_, err := f.Publish(t.Context(), base, text)
		require.NoError(t, err)
	}
	f.store.AppendOperation("config", []byte(strings.Repeat("[", 50_000)))
	f.store.Append("keyed.document", "text/9", []byte("no document"))
	f.store.Append("keyed.document", "text/\xff", []byte("\x32\x02\x08\x08"))
	require.EqualValues(t, 3, f.current(t).Revision)
	published, err := f.Publish(t.Context(), 3, text)
	require.NoError(t, err)
	require.EqualValues(t, 4, published.Revision)
	require.True(t, f.current(t).Operations.Loaded)

	f.store.AppendOperation("config", []byte(`{"version":5,"routes":[7]}`))
	require.EqualValues(t, 5, f.current(t).Revision)
	_, err = f.Publish(t.Context(), 5, text)
	require.NoError(t, err)
}
