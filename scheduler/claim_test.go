package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

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
	// unread holds the records of the log that the candidate hasn't read.
	unread []cell.LogRecord
	// attempts counts the attempted appends, claims those that succeeded.
	attempts int
	claims   int
	// holderStopped is the answer of the holder of the claim; nil means that it goes on.
	holderStopped func() bool
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
	config := newTestConfig("candidate", clockwork.NewFakeClock(), boot, mirror.New(mirror.Config{
		Logger:   hclog.NewNullLogger(),
		BootTime: boot,
		ApplyRecord: func(operations cell.Operations, _ cell.LogRecord) (cell.Operations, error) {
			operations.Loaded = true
			return operations, nil
		},
	}))
	config.Cores = cores
	config.Age = func() (time.Duration, bool) { return 0, true }
	config.NextOffset = func() int64 { return c.logEnd }
	config.AwaitOffset = func(context.Context, int64) error {
		c.apply(c.unread...)
		c.unread = nil
		return nil
	}
	config.HolderStopped = func(context.Context, *cellpb.Claim) bool {
		return c.holderStopped != nil && c.holderStopped()
	}
	config.Append = func(
		_ context.Context, records []cell.LogRecord, _ *cell.Fence, expectedEnd int64,
	) (int64, error) {
		c.attempts++
		if end := c.logEnd + int64(len(c.unread)); expectedEnd != end {
			return 0, &cell.EndMismatchError{
				End: end,
			}
		}
		c.claims++
		c.apply(records...)
		return expectedEnd, nil
	}
	c.Scheduler = New(config)
	return c
}

// apply appends entries to the candidate's copy of the cell's log.
func (c *candidate) apply(records ...cell.LogRecord) {
	for _, record := range records {
		record.Offset = c.logEnd
		c.config.Mirror.ApplyCell([]cell.LogRecord{record}, false)
		c.logEnd++
	}
}

// newClaimRecord returns the log record of a claim by another entry process.
func newClaimRecord(t *testing.T, epoch int64, resigned bool) cell.LogRecord {
	t.Helper()
	record, err := cell.ClaimRecord(&cellpb.Claim{
		Epoch:    epoch,
		Holder:   "former",
		Address:  "former:1",
		Resigned: resigned,
	})
	require.NoError(t, err)
	return record
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
	tests := []struct {
		name    string
		records []cell.LogRecord
	}{
		{name: "first configuration"},
		{name: "resignation", records: []cell.LogRecord{newClaimRecord(t, 1, true)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delays := map[float64]time.Duration{}
			for _, cores := range []float64{smallCores, largeCores} {
				c := newCandidate(t, cores)
				_, ok := c.claimLeadership(t.Context())
				require.False(t, ok, "there is no configuration yet")
				c.now += time.Minute
				c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
				c.apply(test.records...)
				delays[cores] = c.claimedAfter(t)
				require.Equal(t, 1, c.claims)
			}
			require.Greater(t, delays[smallCores]-delays[largeCores], tickInterval, "ticks of two entries differ by as much")
			require.Less(t, delays[smallCores], leaderProbeTimeout+tickInterval)
		})
	}
}

// Guards against a new leader that is replaced at once: an entry that asks the former leader whether it has stopped
// must not claim at the end of a log that holds another claim by then.
func TestNoClaimAfterAnotherEntryClaimed(t *testing.T) {
	c := newCandidate(t, largeCores)
	c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
	c.apply(newClaimRecord(t, 1, false))
	c.now += leaderProbeTimeout + c.claimDelay()
	c.holderStopped = func() bool {
		c.apply(newClaimRecord(t, 2, false))
		return true
	}
	_, leads := c.claimLeadership(t.Context())
	require.False(t, leads)
	require.Zero(t, c.claims)
}

// Guards against a lost leader that is succeeded by an entry too small for the scheduler: the larger ones, due earlier,
// must not lose their turn because a job was submitted after they last read the log.
func TestClaimIsRepeatedAtTheEndOfTheLog(t *testing.T) {
	submitted, err := cell.JobRecord(&cellpb.Job{
		Id:          "00000000000000aa",
		Service:     "desk",
		Occurrences: 1,
		Steps:       []*cellpb.Step{{Count: 1, Cpu: 1, Accelerators: 1}},
	})
	require.NoError(t, err)
	tests := []struct {
		name     string
		unread   cell.LogRecord
		leads    bool
		attempts int
	}{
		{name: "a job was submitted", unread: submitted, leads: true, attempts: 2},
		{name: "the leader is back", unread: newClaimRecord(t, 1, false), attempts: 1},
		{name: "another entry claimed", unread: newClaimRecord(t, 2, false), attempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCandidate(t, largeCores)
			c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
			c.apply(newClaimRecord(t, 1, false))
			c.now += leaderTimeout + c.claimDelay()
			c.unread = []cell.LogRecord{test.unread}
			_, leads := c.claimLeadership(t.Context())
			require.Equal(t, test.leads, leads)
			require.Equal(t, test.attempts, c.attempts)
		})
	}
}
