package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls that never reach an address because others, which don't answer, come before it each time.
func TestSelectorOrder(t *testing.T) {
	selector := NewSelector()
	addresses := []string{"a", "b", "c", "d"}
	require.Equal(t, addresses, selector.Order(addresses))
	selector.RecordFailure("a", 3*time.Second)
	selector.RecordFailure("c", 2*time.Second)
	require.Equal(t, []string{"b", "d", "c", "a"}, selector.Order(addresses))
	require.Equal(t, "b", selector.Select(addresses, time.Second))
	require.Equal(t, "a", selector.Select(addresses, 3*time.Second), "the first is preferred once it may be tried")
	selector.RecordSuccess("a")
	require.Equal(t, []string{"a", "b", "d", "c"}, selector.Order(addresses))
	require.Empty(t, selector.Select(nil, 0))

	for i := range 2 * maxFailures {
		selector.RecordFailure(fmt.Sprintf("former-%d", i), time.Duration(i)*time.Second)
	}
	require.Len(t, selector.retryAt, maxFailures, "former addresses are forgotten")
}
