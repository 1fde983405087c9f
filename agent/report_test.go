package agent

import (
	"errors"
	"strings"
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

// Guards against an agent that never reports to the new scheduler: on a day with replaced entries, three addresses that
// didn't answer took 1.06 s each to fail, which is longer in all than the backoff of the first, and the agent tried no
// other one for 20 s. Its runs were given up and started again, though one of them had ended as done.
func TestUnreachableAddressesDoNotHideReachableOnes(t *testing.T) {
	const dialTime = 1060 * time.Millisecond
	candidates := []string{"scheduler", "dead-1", "dead-2", "dead-3", "dead-4", "alive-1", "alive-2"}
	selector := &addressSelector{
		retryAt: map[string]time.Duration{},
	}
	now := time.Minute
	for range len(candidates) + 2 {
		address := selector.selectAddress(candidates, now)
		if strings.HasPrefix(address, "alive") {
			return
		}
		now += dialTime
		selector.recordResult(address, errors.New("dial timeout"), now)
	}
	require.Fail(t, "a reachable address was never tried")
}
