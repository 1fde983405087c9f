package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer/peerpb"
)

// peerState is a peer's last answer as the tests of confirmation list it.
type peerState struct {
	silent  bool
	asked   time.Duration
	reads   bool
	readAge time.Duration
}

func (p peerState) member(now time.Time) member {
	if p.silent {
		return member{}
	}
	return member{
		asked: now.Add(-p.asked),
		reply: &peerpb.Heartbeat{
			Reads:   p.reads,
			ReadAge: durationpb.New(p.readAge),
		},
	}
}

// TestConfirmation guards against confirming a document that another entry may have replaced, and against refusing all
// starts while a majority agrees that nobody reads the log.
func TestConfirmation(t *testing.T) {
	const ms = time.Millisecond
	silent := peerState{silent: true}
	blind := func(asked time.Duration) peerState { return peerState{asked: asked, readAge: time.Hour} }
	reader := func(asked, age time.Duration) peerState {
		return peerState{asked: asked, reads: true, readAge: age}
	}
	tests := []struct {
		name  string
		own   time.Duration
		peers []peerState
		ok    bool
		age   time.Duration
	}{
		{"own read counts", 300 * ms, nil, true, 300 * ms},
		{"own read at the limit", 2000 * ms, []peerState{silent, silent}, true, 2000 * ms},
		{"own read past the limit without majority", 2001 * ms, []peerState{silent, silent}, false, 0},
		{"own read is younger than the peer's", 300 * ms, []peerState{reader(200*ms, 900*ms)}, true, 300 * ms},
		{"peer's read is younger", 1900 * ms, []peerState{reader(200*ms, 300*ms)}, true, 500 * ms},
		{"peer reads for one that cannot", time.Hour, []peerState{silent, reader(200*ms, 300*ms)}, true, 500 * ms},
		{"best of several readers", time.Hour, []peerState{reader(900*ms, 300*ms), reader(100*ms, 400*ms)}, true, 500 * ms},
		{"reader's confirmation at the limit", time.Hour, []peerState{reader(1000*ms, 2000*ms)}, true, 3000 * ms},
		{"reader's confirmation too old", time.Hour, []peerState{reader(1100*ms, 2000*ms)}, false, 0},
		{"old reader vetoes the majority", time.Hour, []peerState{blind(0), reader(2900*ms, 200*ms)}, false, 0},
		{"stale reader is no responder", time.Hour, []peerState{blind(100 * ms), reader(3100*ms, 0)}, true, 100 * ms},
		{"one of one", time.Hour, nil, true, 0},
		{"one of two", time.Hour, []peerState{silent}, false, 0},
		{"two of two", time.Hour, []peerState{blind(700 * ms)}, true, 700 * ms},
		{"stale reply of two", time.Hour, []peerState{blind(1001 * ms)}, false, 0},
		{"one of three", time.Hour, []peerState{silent, silent}, false, 0},
		{"two of three", time.Hour, []peerState{silent, blind(400 * ms)}, true, 400 * ms},
		{"three of three", time.Hour, []peerState{blind(800 * ms), blind(400 * ms)}, true, 400 * ms},
		{"two of four", time.Hour, []peerState{silent, silent, blind(0)}, false, 0},
		{"two of five", time.Hour, []peerState{silent, silent, silent, blind(0)}, false, 0},
		{"three of five", time.Hour, []peerState{silent, blind(900 * ms), silent, blind(0)}, true, 900 * ms},
		{"three of five with one stale", time.Hour, []peerState{silent, blind(1100 * ms), silent, blind(0)}, false, 0},
		{"five of five", time.Hour, []peerState{blind(0), blind(900 * ms), blind(200 * ms), blind(300 * ms)}, true, 200 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000000, 0)
			var peers []member
			for _, peer := range test.peers {
				peers = append(peers, peer.member(now))
			}
			asOf, ok := confirmation(now, now.Add(-test.own), peers)
			require.Equal(t, test.ok, ok)
			if ok {
				require.Equal(t, test.age, now.Sub(asOf))
			}
		})
	}
}

// TestConfirmationNeverRead guards against a newcomer without any read that confirms while a peer is silent.
func TestConfirmationNeverRead(t *testing.T) {
	_, ok := confirmation(time.Unix(1000000, 0), time.Time{}, []member{{}})
	require.False(t, ok)
}
