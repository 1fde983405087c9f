package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
)

// Guards against a scheduler on an entry too small for it: of entries that lose the leader at the same moment, a small
// one must leave the time to a larger one.
func TestSmallEntryLetsLargerOnesReplaceLostLeader(t *testing.T) {
	tests := []struct {
		name    string
		stopped bool
		// earliest is when an entry without a claim delay replaces the leader.
		earliest time.Duration
	}{
		{name: "silent", earliest: leaderTimeout},
		{name: "stopped", stopped: true, earliest: leaderProbeTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delays := map[float64]time.Duration{}
			for _, cores := range []float64{smallCores, largeCores} {
				c := newCandidate(t, cores)
				c.holderStopped = func() bool { return test.stopped }
				c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
				c.apply(newClaimRecord(t, 1, false))
				delays[cores] = c.claimedAfter(t)
			}
			require.GreaterOrEqual(t, delays[largeCores], test.earliest)
			require.Greater(t, delays[smallCores]-delays[largeCores], tickInterval, "ticks of two entries differ by as much")
			require.LessOrEqual(t, delays[smallCores], test.earliest+maxClaimDelay+tickInterval)
		})
	}
}

// Guards against a small entry that claims at once, because it counts its claim delay from an earlier vacancy: another
// entry has claimed and resigned since, between two checks.
func TestClaimDelayCountsFromTheNewestResignation(t *testing.T) {
	c := newCandidate(t, smallCores)
	c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
	c.apply(newClaimRecord(t, 1, true))
	_, leads := c.claimLeadership(t.Context())
	require.False(t, leads)
	c.now += c.claimDelay()
	c.apply(newClaimRecord(t, 2, false), newClaimRecord(t, 2, true))
	require.GreaterOrEqual(t, c.claimedAfter(t), c.claimDelay())
}

// Guards against a new leader that is replaced at once: the record of its claim arrives while the decision to claim is
// made. A claim at the end of the log after that record would succeed.
func TestClaimOfAnotherEntryDuringTheDecisionCounts(t *testing.T) {
	c := newCandidate(t, largeCores)
	c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
	c.apply(newClaimRecord(t, 1, false))
	c.now += leaderTimeout + c.claimDelay()
	c.config.NextOffset = func() int64 {
		c.apply(newClaimRecord(t, 2, false))
		return c.logEnd
	}
	_, leads := c.claimLeadership(t.Context())
	require.False(t, leads)
	require.Zero(t, c.claims)
}
