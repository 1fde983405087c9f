package logfollower

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/standin/storeserver"
)

const waitTimeout = 20 * time.Second

// After an outage a follower must apply the newest record of every key, also if the store compacted the log in the
// meantime. During the outage its age must increase.
func TestFollowerRecoversFromOutageAndCompaction(t *testing.T) {
	store := storeserver.New(clockwork.NewRealClock())
	endpoint := store.Endpoint()
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.CloseClientConnections)
	topic := platform.NewStore(platform.StoreConfig{
		Address: strings.TrimPrefix(server.URL, "http://"),
	}).Topic("keyed.cell")
	var mu sync.Mutex
	applied := map[string]string{}
	follower := New(Config{
		Name:       "cell",
		Logger:     hclog.NewNullLogger(),
		Clock:      clockwork.NewRealClock(),
		BootTime:   boottime.NewClock(),
		Wait:       300 * time.Millisecond,
		ReadLatest: topic.ReadLatest,
		Read:       topic.Read,
		Apply: func(records []cell.LogRecord, reset bool) {
			mu.Lock()
			defer mu.Unlock()
			if reset {
				applied = map[string]string{}
			}
			for _, record := range records {
				applied[record.Key] = string(record.Value)
			}
		},
	})
	hasValue := func(key, value string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return applied[key] == value
		}
	}
	_, known := follower.Age()
	require.False(t, known)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	store.Append("keyed.cell", "a", []byte("1"))
	require.Eventually(t, hasValue("a", "1"), waitTimeout, 5*time.Millisecond)

	endpoint.SetFault(storeserver.FaultUnavailable, 0)
	require.Eventually(t, func() bool {
		age, _ := follower.Age()
		return age > time.Second
	}, waitTimeout, 20*time.Millisecond)
	store.Append("keyed.cell", "a", []byte("2"))
	store.Append("keyed.cell", "b", []byte("1"))
	store.Compact("keyed.cell")
	endpoint.SetFault(storeserver.FaultNone, 0)
	require.Eventually(t, hasValue("a", "2"), waitTimeout, 5*time.Millisecond)
	require.Eventually(t, hasValue("b", "1"), waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		age, _ := follower.Age()
		return age < 700*time.Millisecond
	}, waitTimeout, 5*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// Guards against entries that each read every record of a busy log by itself: with 55 entries, the cell's log was read
// 1,300 times a second. A caller that waits for a record must still get it at once.
func TestFollowerPausesBetweenPolls(t *testing.T) {
	const pause = 100 * time.Millisecond
	clock := clockwork.NewRealClock()
	store := storeserver.New(clock)
	server := httptest.NewServer(store.Endpoint())
	t.Cleanup(server.CloseClientConnections)
	topic := platform.NewStore(platform.StoreConfig{
		Address: strings.TrimPrefix(server.URL, "http://"),
	}).Topic("keyed.cell")
	var reads atomic.Int64
	follower := New(Config{
		Name:       "cell",
		Logger:     hclog.NewNullLogger(),
		Clock:      clock,
		BootTime:   boottime.NewClock(),
		Wait:       time.Second,
		ReadLatest: topic.ReadLatest,
		Read: func(ctx context.Context, from int64, wait time.Duration) (cell.Page, error) {
			reads.Add(1)
			return topic.Read(ctx, from, wait)
		},
		Apply: func([]cell.LogRecord, bool) {},
		Pause: func() time.Duration { return pause },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return reads.Load() > 0 }, waitTimeout, 5*time.Millisecond)
	startedAt := clock.Now()
	for i := range 100 {
		store.Append("keyed.cell", "a", []byte{byte(i + 1)})
		clock.Sleep(5 * time.Millisecond)
	}
	require.LessOrEqual(t, reads.Load(), int64(clock.Since(startedAt)/pause)+2)

	require.Eventually(t, func() bool { return follower.NextOffset() == 100 }, waitTimeout, time.Millisecond)
	awaitedAt := clock.Now()
	awaitDone := make(chan error, 1)
	go func() { awaitDone <- follower.AwaitOffset(ctx, 100) }()
	store.Append("keyed.cell", "a", []byte("last"))
	require.NoError(t, <-awaitDone)
	require.Less(t, clock.Since(awaitedAt), pause)
	cancel()
	require.NoError(t, <-done)
}
