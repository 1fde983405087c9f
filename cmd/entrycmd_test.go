package cmd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/gateway"
)

// Guards against an entry that takes the store for unreachable while nothing is written to the cell's log: the first
// job after the first document was refused.
func TestIdleLogIsReachable(t *testing.T) {
	require.Less(t, 2*cellPollTimeout, gateway.StoreUnreachableAge)
}
