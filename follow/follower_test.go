package follow

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

const eventually = 20 * time.Second

// A follower must see every key's newest record, also when the store dropped the history while it couldn't read, and
// must know how old its knowledge is meanwhile.
func TestFollowThroughOutageAndTruncation(t *testing.T) {
	store := storeserver.New(clockwork.NewRealClock())
	door := store.Door()
	server := httptest.NewServer(door)
	t.Cleanup(server.CloseClientConnections)
	topic := platform.NewStore(platform.StoreConfig{
		Address: strings.TrimPrefix(server.URL, "http://"),
	}).Topic("keyed.cell")
	var mu sync.Mutex
	seen := map[string]string{}
	follower := New(Config{
		Name:   "cell",
		Logger: hclog.NewNullLogger(),
		Clock:  clockwork.NewRealClock(),
		Boot:   boottime.NewClock(),
		Wait:   300 * time.Millisecond,
		Newest: topic.Newest,
		Read:   topic.Read,
		Apply: func(entries []cell.Entry, reset bool) {
			mu.Lock()
			defer mu.Unlock()
			if reset {
				seen = map[string]string{}
			}
			for _, entry := range entries {
				seen[entry.Key] = string(entry.Value)
			}
		},
	})
	sees := func(key, value string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return seen[key] == value
		}
	}
	_, known := follower.Age()
	require.False(t, known)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	store.Write("keyed.cell", "a", []byte("1"))
	require.Eventually(t, sees("a", "1"), eventually, 5*time.Millisecond)

	door.Set(storeserver.FaultBusy, 0)
	require.Eventually(t, func() bool {
		age, _ := follower.Age()
		return age > time.Second
	}, eventually, 20*time.Millisecond)
	store.Write("keyed.cell", "a", []byte("2"))
	store.Write("keyed.cell", "b", []byte("1"))
	store.Forget("keyed.cell")
	door.Set(storeserver.FaultNone, 0)
	require.Eventually(t, sees("a", "2"), eventually, 5*time.Millisecond)
	require.Eventually(t, sees("b", "1"), eventually, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		age, _ := follower.Age()
		return age < 700*time.Millisecond
	}, eventually, 5*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}
