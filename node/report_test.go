package node

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a takeover an agent must find the new scheduler within moments: an entry that knows none is asked again soon,
// one that doesn't answer isn't waited for again.
func TestTargets(t *testing.T) {
	candidates := []string{"dead", "entry-1", "entry-2"}
	to := &targets{
		until: map[string]time.Duration{},
	}
	now := time.Minute
	require.Equal(t, "dead", to.choose(candidates, now))
	to.settle("dead", errors.New("timeout"), now)
	require.Equal(t, "entry-1", to.choose(candidates, now))
	to.settle("entry-1", errNoScheduler, now)
	require.Equal(t, "entry-2", to.choose(candidates, now))
	to.settle("entry-2", errNoScheduler, now)
	require.Equal(t, "entry-1", to.choose(candidates, now), "all failed: the one that may be tried soonest")
	require.Equal(t, "entry-1", to.choose(candidates, now+retryNobody))
	require.Equal(t, "dead", to.choose(candidates, now+retryTarget))
}
