package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

func info(id string) *peerpb.EntryInfo {
	return &peerpb.EntryInfo{
		Id:      id,
		Address: id + ":1",
	}
}

func knownIDs(m *members) []string {
	ids := []string{}
	for _, known := range m.list() {
		ids = append(ids, known.info.GetId())
	}
	return ids
}

// TestMembersAlive guards against a newcomer that takes over from entries which it has not heard yet.
func TestMembersAlive(t *testing.T) {
	start := time.Unix(1000000, 0)
	tests := []struct {
		name  string
		id    string
		heard time.Duration
		now   time.Duration
		alive bool
	}{
		{"itself", "self", -1, time.Hour, true},
		{"never heard right after the start", "b", -1, ownerSilence, true},
		{"never heard later", "b", -1, ownerSilence + 1, false},
		{"unknown right after the start", "z", -1, ownerSilence, true},
		{"unknown later", "z", -1, ownerSilence + 1, false},
		{"heard at the limit", "b", time.Minute, time.Minute + ownerSilence, true},
		{"silent", "b", time.Minute, time.Minute + ownerSilence + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMembers(info("self"), start, []*peerpb.EntryInfo{info("b"), info("self")})
			if test.heard >= 0 {
				m.observe(&peerpb.Heartbeat{Sender: info(test.id)}, noTime, start.Add(test.heard))
			}
			require.Equal(t, test.alive, m.isAlive(test.id, start.Add(test.now), ownerSilence))
		})
	}
}

// TestMembersReplace guards against two ids for one address, which would raise the majority, and against telling
// others of ids that nobody answers to.
func TestMembersReplace(t *testing.T) {
	start := time.Unix(1000000, 0)
	m := newMembers(info("self"), start, []*peerpb.EntryInfo{info("b")})
	require.Empty(t, m.heard())
	m.replace("b", &peerpb.EntryInfo{Id: "b-2", Address: "b:1"}, start)
	require.Equal(t, []string{"b-2"}, knownIDs(m))
	m.observe(&peerpb.Heartbeat{Sender: info("b-2"), Leaving: true}, noTime, start)
	require.Equal(t, "b-2", m.heard()[0].GetId())
	require.True(t, m.isLeaving("b-2"))
	m.learn(&peerpb.EntryInfo{Id: "c"})
	m.learn(&peerpb.EntryInfo{Address: "c:1"})
	require.Equal(t, []string{"b-2"}, knownIDs(m), "an entry needs an id and an address")
	_, known := m.address("b")
	require.False(t, known)
}

// TestMembersReply guards against counting a message that answers no call of this entry as fresh.
func TestMembersReply(t *testing.T) {
	start := time.Unix(1000000, 0)
	m := newMembers(info("self"), start, nil)
	m.observe(&peerpb.Heartbeat{Sender: info("b"), Reads: true}, start, start.Add(time.Second))
	m.observe(&peerpb.Heartbeat{Sender: info("b")}, noTime, start.Add(2*time.Second))
	require.Equal(t, start, m.list()[0].asked)
	require.True(t, m.list()[0].reply.GetReads())
}

// TestMembersPrune guards against dropping entries during an outage of the log, when their number decides.
func TestMembersPrune(t *testing.T) {
	start := time.Unix(1000000, 0)
	m := newMembers(info("self"), start, []*peerpb.EntryInfo{info("silent")})
	m.observe(&peerpb.Heartbeat{Sender: info("left"), Leaving: true}, noTime, start)
	m.prune(start.Add(ownerSilence), true)
	require.Equal(t, []string{"left", "silent"}, knownIDs(m))
	m.prune(start.Add(ownerSilence+1), false)
	require.Equal(t, []string{"silent"}, knownIDs(m))
	m.prune(start.Add(pruneSilence+1), false)
	require.Equal(t, []string{"silent"}, knownIDs(m))
	m.prune(start.Add(pruneSilence+1), true)
	require.Empty(t, knownIDs(m))
}

// TestMembersLeftStaysAway guards against learning an entry that left again from a peer that has not dropped it yet:
// it would count in the majority for pruneSilence.
func TestMembersLeftStaysAway(t *testing.T) {
	start := time.Unix(1000000, 0)
	m := newMembers(info("self"), start, nil)
	m.observe(&peerpb.Heartbeat{Sender: info("left"), Leaving: true}, noTime, start)
	m.prune(start.Add(ownerSilence+1), true)
	m.learn(info("left"))
	require.Empty(t, knownIDs(m))
	m.observe(&peerpb.Heartbeat{Sender: info("left"), Leaving: true}, noTime, start.Add(time.Minute))
	require.Equal(t, []string{"left"}, knownIDs(m), "it was only cut off and still owns jobs")
}
