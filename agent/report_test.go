package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a takeover an agent must find the new scheduler quickly: an address that knows no scheduler is retried soon,
// and one that doesn't answer is skipped for longer.
func TestAddressSelector(t *testing.T) {
	candidates := []string{"dead", "entry-1", "entry-2"}
	selector := &addressSelector{
		retryAt: map[string]time.Duration{},
	}
	now := time.Minute
	require.Equal(t, "dead", selector.selectAddress(candidates, now))
	selector.recordResult("dead", errors.New("timeout"), now)
	require.Equal(t, "entry-1", selector.selectAddress(candidates, now))
	selector.recordResult("entry-1", errNoScheduler, now)
	require.Equal(t, "entry-2", selector.selectAddress(candidates, now))
	selector.recordResult("entry-2", errNoScheduler, now)
	require.Equal(t, "entry-1", selector.selectAddress(candidates, now), "all failed: the one that may be tried soonest")
	require.Equal(t, "entry-1", selector.selectAddress(candidates, now+noSchedulerBackoff))
	require.Equal(t, "dead", selector.selectAddress(candidates, now+unreachableBackoff))
}
