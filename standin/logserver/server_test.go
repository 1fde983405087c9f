package logserver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/logserver"
)

// timeLimit ends calls whose answer never comes; no verdict depends on its length.
const timeLimit = 300 * time.Millisecond

type fixture struct {
	*logservice.Log
	clock  *clockwork.FakeClock
	faults *rest.Client
}

func newFixture(t *testing.T, config logserver.Config) fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	config.Clock = clock
	server := httptest.NewServer(logserver.New(config).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address := server.Listener.Addr().String()
	return fixture{
		Log: logservice.NewLog(logservice.LogConfig{
			Address: address,
		}),
		clock: clock,
		faults: rest.New(rest.Config{
			Address: address,
		}),
	}
}

func (f fixture) append(t *testing.T, data string) int64 {
	t.Helper()
	offset, err := f.Append(t.Context(), "jobs", []byte(data))
	require.NoError(t, err)
	return offset
}

// appendError appends a record whose answer does not come.
func (f fixture) appendError(t *testing.T, data string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
	defer cancel()
	_, err := f.Append(ctx, "jobs", []byte(data))
	require.Error(t, err)
	return err
}

func (f fixture) contents(t *testing.T) (texts []string, first, next int64) {
	t.Helper()
	page, err := f.Read(t.Context(), "jobs", 0, 100, 0)
	require.NoError(t, err)
	for _, record := range page.Records {
		texts = append(texts, string(record.Data))
	}
	return texts, page.First, page.Next
}

func (f fixture) set(t *testing.T, faults logserver.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	require.NoError(t, f.faults.Do(t.Context(), http.MethodPut, "/faults", body, nil))
}

// TestAppendFaults guards against a fault that has another effect than the one its tests rely on: a refused append
// that is in the log, or a lost answer whose append is not.
func TestAppendFaults(t *testing.T) {
	for _, test := range []struct {
		name     string
		faults   logserver.Faults
		rejected bool
		want     []string
	}{
		{
			name: "answer lost",
			faults: logserver.Faults{
				Lost: 1,
			},
			want: []string{"before", "during", "after"},
		},
		{
			name: "connections closed",
			faults: logserver.Faults{
				Unavailable: "close",
			},
			want: []string{"before", "after"},
		},
		{
			name: "refused",
			faults: logserver.Faults{
				Unavailable: "refuse",
			},
			rejected: true,
			want:     []string{"before", "after"},
		},
		{
			name: "hanging",
			faults: logserver.Faults{
				Hang: true,
			},
			want: []string{"before", "after"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFixture(t, logserver.Config{})
			log.append(t, "before")
			log.set(t, test.faults)
			err := log.appendError(t, "during")
			if test.rejected {
				require.ErrorIs(t, err, logservice.ErrRejected)
			} else {
				require.NotErrorIs(t, err, logservice.ErrRejected)
			}
			log.set(t, logserver.Faults{})
			log.append(t, "after")
			texts, _, _ := log.contents(t)
			require.Equal(t, test.want, texts)
		})
	}
}

// TestAppendRate guards against a limit that lets appends through or that never recovers.
func TestAppendRate(t *testing.T) {
	log := newFixture(t, logserver.Config{
		Rate: 4,
	})
	log.append(t, "a")
	require.ErrorIs(t, log.appendError(t, "b"), logservice.ErrRejected)
	log.clock.Advance(time.Second / 4)
	log.append(t, "c")
	texts, _, _ := log.contents(t)
	require.Equal(t, []string{"a", "c"}, texts)
}

// TestDelayedAppendTakesEffect guards against a slow log that drops what its sender gave up on: tests need the append
// that arrives late.
func TestDelayedAppendTakesEffect(t *testing.T) {
	log := newFixture(t, logserver.Config{})
	log.set(t, logserver.Faults{
		Appends: rest.Duration(3 * time.Second),
	})
	require.NotErrorIs(t, log.appendError(t, "late"), logservice.ErrRejected)
	texts, _, _ := log.contents(t)
	require.Empty(t, texts)
	log.clock.Advance(3 * time.Second)
	require.Eventually(t, func() bool {
		texts, _, _ = log.contents(t)
		return len(texts) == 1
	}, 10*time.Second, 5*time.Millisecond)
}

// TestRetention guards against offsets that shift when records are dropped, and records that outlive their retention.
func TestRetention(t *testing.T) {
	for _, test := range []struct {
		name   string
		config logserver.Config
		faults logserver.Faults
		want   []string
		first  int64
	}{
		{
			name: "by age",
			config: logserver.Config{
				Retention: 90 * time.Second,
			},
			want:  []string{"b", "c"},
			first: 1,
		},
		{
			name: "by count",
			config: logserver.Config{
				Keep: 1,
			},
			want:  []string{"c"},
			first: 2,
		},
		{
			name: "truncated",
			faults: logserver.Faults{
				Truncate: map[string]int64{
					"jobs": 2,
				},
			},
			want:  []string{"c"},
			first: 2,
		},
		{
			name: "truncated beyond the end",
			faults: logserver.Faults{
				Truncate: map[string]int64{
					"jobs": 99,
				},
			},
			first: 3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFixture(t, test.config)
			for _, data := range []string{"a", "b", "c"} {
				log.append(t, data)
				log.clock.Advance(40 * time.Second)
			}
			log.set(t, test.faults)
			texts, first, next := log.contents(t)
			require.Equal(t, test.want, texts)
			require.Equal(t, test.first, first)
			require.Equal(t, int64(3), next)
			require.Equal(t, int64(3), log.append(t, "d"))
		})
	}
}

// TestReadWaits guards against a long poll that misses an append, outlasts its wait, or survives an outage.
func TestReadWaits(t *testing.T) {
	for _, test := range []struct {
		name    string
		act     func(t *testing.T, log fixture)
		records int
		fails   bool
	}{
		{
			name:    "append",
			act:     func(t *testing.T, log fixture) { log.append(t, "a") },
			records: 1,
		},
		{
			name: "end of the wait",
			act:  func(_ *testing.T, log fixture) { log.clock.Advance(10 * time.Second) },
		},
		{
			name: "outage",
			act: func(t *testing.T, log fixture) {
				log.set(t, logserver.Faults{
					Unavailable: "close",
				})
			},
			fails: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFixture(t, logserver.Config{})
			type result struct {
				page logservice.Page
				err  error
			}
			results := make(chan result, 1)
			go func() {
				page, err := log.Read(t.Context(), "jobs", 0, 10, 10*time.Second)
				results <- result{page, err}
			}()
			require.NoError(t, log.clock.BlockUntilContext(t.Context(), 1))
			test.act(t, log)
			got := <-results
			require.Equal(t, test.fails, got.err != nil)
			require.Len(t, got.page.Records, test.records)
		})
	}
}
