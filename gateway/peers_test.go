package gateway

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/mirror"
	"radishpath.example/radishpath/peer"
)

func newMirror(t *testing.T) *mirror.Mirror {
	t.Helper()
	return mirror.New(mirror.Config{
		Logger:      hclog.NewNullLogger(),
		BootTime:    boottime.NewClock(),
		ApplyRecord: func(operations cell.Operations, _ cell.LogRecord) (cell.Operations, error) { return operations, nil },
	})
}

func applyClaim(t *testing.T, target *mirror.Mirror, epoch int64, address string) {
	t.Helper()
	record, err := cell.ClaimRecord(&cellpb.Claim{
		Epoch:   epoch,
		Holder:  address,
		Address: address,
	})
	require.NoError(t, err)
	target.ApplyCell([]cell.LogRecord{record}, false)
}

// Guards against a replaced scheduler that keeps its agents: while it can't reach the store, it can't read the new
// claim there and must get it from another entry.
func TestWatchClaimLearnsFromAnotherEntry(t *testing.T) {
	local, remote := newMirror(t), newMirror(t)
	applyClaim(t, local, 1, "old:1")
	applyClaim(t, remote, 2, "new:1")
	remotePeers := NewPeerService(PeerServiceConfig{
		Mirror:               remote,
		Leading:              func() int64 { return 2 },
		NextOperationsOffset: func() int64 { return 5 },
	})
	localPeers := NewPeerService(PeerServiceConfig{
		Address:  "old:1",
		Seeds:    []string{"new:1"},
		Logger:   hclog.NewNullLogger(),
		Clock:    clockwork.NewRealClock(),
		BootTime: boottime.NewClock(),
		Mirror:   local,
		StateAge: func() (time.Duration, bool) { return time.Second, true },
		Call: func(ctx context.Context, _ string, request, reply proto.Message) error {
			proto.Merge(reply, remotePeers.Handle(ctx, request.(*cellpb.Request)))
			return nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- localPeers.WatchClaim(ctx) }()
	require.Eventually(t, func() bool {
		claim, _ := local.Claim()
		return claim.GetEpoch() == 2 && claim.GetAddress() == "new:1"
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// Guards against a delayed replacement of a scheduler whose process was killed, and against replacing one that is only
// slow to write.
func TestHolderStopped(t *testing.T) {
	claim := &cellpb.Claim{
		Epoch:   2,
		Address: "other:1",
	}
	tests := []struct {
		name         string
		leadingEpoch int64
		err          error
		want         bool
	}{
		{name: "still schedules", leadingEpoch: 2, want: false},
		{name: "restarted", leadingEpoch: 0, want: true},
		{name: "connection refused", err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED), want: true},
		{name: "unreachable", err: context.DeadlineExceeded, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := NewPeerService(PeerServiceConfig{
				Address: "own:1",
				Call: func(_ context.Context, _ string, _, reply proto.Message) error {
					reply.(*cellpb.Reply).Leading = test.leadingEpoch
					return test.err
				},
			})
			require.Equal(t, test.want, peers.HolderStopped(t.Context(), claim))
		})
	}
}

// Guards against calls that are rejected although an entry could store them: the first entry in the order of addresses
// doesn't answer and takes the whole timeout of each attempt, so that the next one is never asked.
func TestRelayAppendReachesEntryBehindUnreachableOnes(t *testing.T) {
	const attemptTimeout = 20 * time.Millisecond
	peers := NewPeerService(PeerServiceConfig{
		Address:  "own:1",
		Seeds:    []string{"dead-1:1", "dead-2:1", "alive:1", "dead-3:1"},
		Mirror:   newMirror(t),
		BootTime: boottime.NewClock(),
		Call: func(ctx context.Context, address string, _, reply proto.Message) error {
			if address != "alive:1" {
				<-ctx.Done()
				return fmt.Errorf("dial: %w: %w", peer.ErrNotSent, context.Cause(ctx))
			}
			reply.(*cellpb.Reply).Body = &cellpb.Reply_Appended{
				Appended: &cellpb.Appended{
					Stored: true,
				},
			}
			return nil
		},
	})
	relay := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		defer cancel()
		return peers.RelayAppend(ctx, &cellpb.Append{Key: "job/00000000000000aa"})
	}
	require.ErrorIs(t, relay(), cell.ErrRejected)
	require.ErrorIs(t, relay(), cell.ErrRejected)
	for range 3 {
		require.NoError(t, relay(), "once the unreachable entries are known, the others come first")
	}
}

// Guards against an entry that can't read the store and calls only entries that are gone: the settings name others by
// now.
func TestSetSeeds(t *testing.T) {
	peers := NewPeerService(PeerServiceConfig{
		Address: "own:1",
		Seeds:   []string{"former:1", "own:1"},
		Mirror:  newMirror(t),
	})
	require.Equal(t, []string{"former:1"}, peers.otherEntries())
	peers.SetSeeds([]string{"own:1", "new:1"})
	require.Equal(t, []string{"new:1"}, peers.otherEntries())
}
