package agent

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
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

// Guards against a list of entries that grows with every address that was ever in the log: an agent without a scheduler
// would try the old ones in turn before it comes back to those that live.
func TestAddressesOfFormerEntriesAreForgotten(t *testing.T) {
	c := New(Config{
		SeedAddresses: []string{"10.0.0.1:7000", "10.0.0.2:7000"},
	})
	for i := range 500 {
		c.updateAddresses(&cellpb.Orders{
			Epoch:     7,
			Scheduler: "10.0.0.2:7000",
			Entries:   []string{"10.0.0.2:7000", fmt.Sprintf("10.0.1.%d:7000", i), "", "10.0.0.3:7000"},
		})
	}
	known := []string{"10.0.0.2:7000", "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.1.499:7000"}
	require.Equal(t, known, c.candidates())

	// An entry that knows no scheduler doesn't name itself, and may be behind.
	c.updateAddresses(&cellpb.Orders{Entries: []string{"10.0.0.4:7000"}})
	require.Equal(t, append(known, "10.0.0.4:7000"), c.candidates())
	for i := range 500 {
		c.updateAddresses(&cellpb.Orders{Entries: []string{fmt.Sprintf("10.0.2.%d:7000", i)}})
	}
	require.LessOrEqual(t, len(c.candidates()), 1+maxEntryAddresses)
}
