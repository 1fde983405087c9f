package proof

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/storeserver"
)

// TestAgentsFindEntriesThatReplaceAllOthers guards against agents that know only entries that are gone: jobs are
// accepted, executors are idle and nothing runs any more.
func TestAgentsFindEntriesThatReplaceAllOthers(t *testing.T) {
	const pause = time.Second
	tests := []struct {
		name        string
		replacement cluster.Replacement
		agentStore  bool
		times       int
		// paused is how long the agents are suspended from the replacement on.
		paused time.Duration
		// storeAway is how long the store is unavailable to the new entries.
		storeAway time.Duration
		timeout   time.Duration
	}{
		{
			name:        "settings change with a signal",
			replacement: cluster.Replacement{Pause: pause, UpdateSettings: true, Signal: true},
			times:       1,
		},
		{
			name:        "settings change without a signal, twice",
			replacement: cluster.Replacement{Pause: pause, UpdateSettings: true},
			times:       2,
		},
		{
			name:        "settings stay as they were",
			replacement: cluster.Replacement{Pause: pause},
			agentStore:  true,
			times:       1,
			timeout:     settleTimeout,
		},
		{
			name:        "agents are suspended",
			replacement: cluster.Replacement{Pause: pause, UpdateSettings: true},
			times:       1,
			paused:      4 * time.Second,
		},
		{
			name:        "the store is away",
			replacement: cluster.Replacement{Pause: pause, UpdateSettings: true, Signal: true},
			times:       1,
			storeAway:   4 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarnessWithConfig(t, cluster.Config{Agents: 3, AgentStore: test.agentStore}, cluster.DocumentConfig{})
			for range test.times {
				for _, agent := range h.Agents {
					if test.paused > 0 {
						go agent.Pause(test.paused)
					}
				}
				require.NoError(t, h.ReplaceEntries(t.Context(), test.replacement))
				h.makeStoreUnavailable(test.storeAway)
				h.awaitEntriesReady(2 * reactionTimeout)
				h.awaitCompleted(h.submit(h.job("10ms")), cmp.Or(test.timeout, 2*reactionTimeout))
			}
			h.requireNoViolations()
		})
	}
}

// makeStoreUnavailable makes the store unavailable to all entries for a duration.
func (h *harness) makeStoreUnavailable(duration time.Duration) {
	if duration == 0 {
		return
	}
	for _, entry := range h.Entries {
		entry.Endpoint.SetFault(storeserver.FaultUnavailable, 0)
	}
	h.clock.Sleep(duration)
	for _, entry := range h.Entries {
		entry.Endpoint.SetFault(storeserver.FaultNone, 0)
	}
}
