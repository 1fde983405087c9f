package gateway

import (
	"context"
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
)

func newMirror(t *testing.T) *mirror.Mirror {
	t.Helper()
	return mirror.New(mirror.Config{
		Logger: hclog.NewNullLogger(),
		Boot:   boottime.NewClock(),
		Decode: func(operations cell.Operations, _ cell.Entry) (cell.Operations, error) { return operations, nil },
	})
}

func claimed(t *testing.T, m *mirror.Mirror, epoch int64, address string) {
	t.Helper()
	entry, err := cell.ClaimEntry(&cellpb.Claim{
		Epoch:   epoch,
		Holder:  address,
		Address: address,
	})
	require.NoError(t, err)
	m.ApplyCell([]cell.Entry{entry}, false)
}

// A scheduler that the store turns away can't read that it was replaced; it must learn it from another entry, or its
// agents stay with it for as long as it is turned away.
func TestWatchLearnsTheSchedulerFromAnotherEntry(t *testing.T) {
	own, other := newMirror(t), newMirror(t)
	claimed(t, own, 1, "old:1")
	claimed(t, other, 2, "new:1")
	answering := NewPeers(PeersConfig{
		Mirror: other,
	})
	asking := NewPeers(PeersConfig{
		Address:  "old:1",
		Seeds:    []string{"new:1"},
		Logger:   hclog.NewNullLogger(),
		Clock:    clockwork.NewRealClock(),
		Mirror:   own,
		StateAge: func() (time.Duration, bool) { return time.Second, true },
		Exchange: func(ctx context.Context, _ string, request, reply proto.Message) error {
			proto.Merge(reply, answering.Answer(ctx, request.(*cellpb.Request)))
			return nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- asking.Watch(ctx) }()
	require.Eventually(t, func() bool {
		claim, _ := own.Claim()
		return claim.GetEpoch() == 2 && claim.GetAddress() == "new:1"
	}, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}
