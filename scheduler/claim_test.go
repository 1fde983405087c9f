package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/mirror"
)

const (
	smallCores = 0.2
	largeCores = 0.8
)

// candidate is a scheduler that hasn't led yet, with a clock and a log that the test moves.
type candidate struct {
	*Scheduler
	now    time.Duration
	logEnd int64
	// claims counts the claims that were appended.
	claims int
}

// newCandidate returns a candidate whose process has been running for a minute.
func newCandidate(t *testing.T, cores float64) *candidate {
	t.Helper()
	c := &candidate{
		now: time.Minute,
	}
	boot := boottime.Clock{
		Now: func() time.Duration { return c.now },
	}
	c.Scheduler = New(Config{
		Holder:   "candidate",
		Cores:    cores,
		Address:  "candidate:1",
		Logger:   hclog.NewNullLogger(),
		Clock:    clockwork.NewFakeClock(),
		BootTime: boot,
		Metrics:  tally.NoopScope,
		Mirror: mirror.New(mirror.Config{
			Logger:   hclog.NewNullLogger(),
			BootTime: boot,
			ApplyEntry: func(operations cell.Operations, _ cell.Entry) (cell.Operations, error) {
				operations.Loaded = true
				return operations, nil
			},
		}),
		Age:           func() (time.Duration, bool) { return 0, true },
		NextOffset:    func() int64 { return c.logEnd },
		AwaitOffset:   func(context.Context, int64) error { return nil },
		HolderStopped: func(context.Context, *cellpb.Claim) bool { return false },
		Append: func(_ context.Context, entries []cell.Entry, _ *cell.Fence, expectedEnd int64) (int64, error) {
			c.claims++
			c.apply(entries...)
			return expectedEnd, nil
		},
	})
	return c
}

// apply appends entries to the candidate's copy of the cell's log.
func (c *candidate) apply(entries ...cell.Entry) {
	c.config.Mirror.ApplyCell(entries, false)
	c.logEnd += int64(len(entries))
}

// claimedAfter returns how long the candidate, which checks at each tick, takes to claim the leadership.
func (c *candidate) claimedAfter(t *testing.T) time.Duration {
	t.Helper()
	start := c.now
	for c.now-start < 10*time.Second {
		if _, ok := c.claimLeadership(t.Context()); ok {
			return c.now - start
		}
		c.now += tickInterval
	}
	require.Fail(t, "the candidate never leads")
	return 0
}

// Guards against a scheduler on an entry too small for it: when the cell becomes claimable for all entries at the same
// moment, a small one must leave the time to a larger one, however long its process has been running.
func TestSmallEntryLetsLargerOnesClaimFirst(t *testing.T) {
	resigned, err := cell.ClaimEntry(&cellpb.Claim{
		Epoch:    1,
		Holder:   "former",
		Address:  "former:1",
		Resigned: true,
	})
	require.NoError(t, err)
	tests := []struct {
		name    string
		records []cell.Entry
	}{
		{name: "first configuration"},
		{name: "resignation", records: []cell.Entry{resigned}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delays := map[float64]time.Duration{}
			for _, cores := range []float64{smallCores, largeCores} {
				c := newCandidate(t, cores)
				_, ok := c.claimLeadership(t.Context())
				require.False(t, ok, "there is no configuration yet")
				c.now += time.Minute
				c.config.Mirror.ApplyOperations([]cell.Entry{{Key: "config"}}, true)
				c.apply(test.records...)
				delays[cores] = c.claimedAfter(t)
				require.Equal(t, 1, c.claims)
			}
			require.Greater(t, delays[smallCores]-delays[largeCores], tickInterval, "ticks of two entries differ by as much")
			require.Less(t, delays[smallCores], leaderProbeTimeout+tickInterval)
		})
	}
}
