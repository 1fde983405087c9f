package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestMembersDropped guards against instances that were replaced or left and come back through what peers that have
// not dropped them yet say.
func TestMembersDropped(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	old := &peerpb.EntryInfo{
		Id:      "entry-2",
		Address: "127.0.0.1:1",
	}
	replacement := &peerpb.EntryInfo{
		Id:      "entry-2.b",
		Address: "127.0.0.1:1",
	}
	for _, test := range []struct {
		name string
		drop func(m *members)
	}{
		{
			name: "replaced",
			drop: func(m *members) { m.replace(old.GetId(), replacement, start) },
		},
		{
			name: "left",
			drop: func(m *members) {
				m.observe(&peerpb.Heartbeat{
					Sender:  old,
					Leaving: true,
				}, noTime, start)
				m.prune(start.Add(ownerSilence+time.Second), false)
			},
		},
		{
			name: "silent",
			drop: func(m *members) { m.prune(start.Add(pruneSilence+time.Second), true) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m := newMembers(&peerpb.EntryInfo{Id: "entry-1", Address: "127.0.0.1:7001"}, start, []*peerpb.EntryInfo{old})
			test.drop(m)
			m.learn(old)
			_, known := m.address(old.GetId())
			require.False(t, known, "named by a peer")
			m.observe(&peerpb.Heartbeat{
				Sender: old,
			}, noTime, start.Add(pruneSilence))
			_, known = m.address(old.GetId())
			require.True(t, known, "heard again")
		})
	}
}
