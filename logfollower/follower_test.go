package logfollower

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
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
		Apply: func(entries []cell.Entry, reset bool) {
			mu.Lock()
			defer mu.Unlock()
			if reset {
				applied = map[string]string{}
			}
			for _, entry := range entries {
				applied[entry.Key] = string(entry.Value)
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
