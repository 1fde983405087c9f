package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestName guards against naming the entries in every reply, and against an agent that does not learn of a new entry,
// or never again after a lost reply.
func TestName(t *testing.T) {
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	entries := func(ids ...string) []*peerpb.EntryInfo {
		var infos []*peerpb.EntryInfo
		for _, id := range ids {
			infos = append(infos, &peerpb.EntryInfo{
				Id:      id,
				Address: "address of " + id,
			})
		}
		return infos
	}
	f := newFleet()
	require.Len(t, f.name(start, "agent", entries("a")), 1, "unknown agent")
	f.announce(start, &peerpb.Announce{
		Agent: "agent",
		Boot:  "1",
		Full:  true,
	})
	require.Len(t, f.name(start, "agent", entries("a")), 1, "first reply")
	require.Empty(t, f.name(start.Add(time.Second), "agent", entries("a")), "nothing new")
	require.Len(t, f.name(start.Add(time.Second), "agent", entries("a", "b")), 2, "new entry")
	require.Empty(t, f.name(start.Add(2*time.Second), "agent", entries("a", "b")), "nothing new")
	require.Len(t, f.name(start.Add(time.Second+nameInterval), "agent", entries("a", "b")), 2, "interval over")
	f.announce(start, &peerpb.Announce{
		Agent: "agent",
		Boot:  "2",
		Full:  true,
	})
	require.Len(t, f.name(start.Add(2*time.Second), "agent", entries("a", "b")), 2, "restarted agent")
}
