package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
)

// Guards against leases that lapse on healthy executors after a takeover, because the new scheduler extends none until
// its first append, and against a claim that counts from later than it was sent.
func TestFirstGrantsCountFromTheClaim(t *testing.T) {
	tests := []struct {
		name string
		// appendTime is how long the append of the claim takes.
		appendTime time.Duration
		// earlierClaim is set if the term is that of an earlier claim than the last one, its outcome wasn't known.
		earlierClaim bool
		granted      bool
	}{
		{name: "claim appended at once", granted: true},
		{name: "claim appended late", appendTime: confirmationValidity + time.Second},
		{name: "earlier claim", earlierClaim: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCandidate(t, largeCores)
			c.config.Dispatch.LeaseDuration = 10 * time.Second
			c.config.Mirror.ApplyOperations([]cell.LogRecord{{Key: "config"}}, true)
			appendClaim := c.config.Append
			c.config.Append = func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, end int64) (int64, error) {
				c.now += test.appendTime
				return appendClaim(ctx, records, fence, end)
			}
			c.claimedAfter(t)
			epoch := c.claimedEpoch
			if test.earlierClaim {
				c.claimedEpoch++
			}
			c.config.Append = func(ctx context.Context, _ []cell.LogRecord, _ *cell.Fence, _ int64) (int64, error) {
				<-ctx.Done()
				return 0, cell.ErrOutcomeUnknown
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.runTerm(ctx, epoch)
			}()
			require.Eventually(t, func() bool { return c.Leading() == epoch }, waitTimeout, time.Millisecond)
			orders, ok := c.Report(ctx, newReport(epoch, 1))
			require.True(t, ok)
			require.Equal(t, test.granted, orders.GetGrantMs() > 0)
			cancel()
			<-done
		})
	}
}
