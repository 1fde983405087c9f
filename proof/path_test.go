package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
)

// TestPath guards against a path that works at one entry only: every entry serves requests, places gangs, refuses what
// can never run, and answers for the jobs of the others.
func TestPath(t *testing.T) {
	t.Parallel()
	s := newSuite(t, 4, harness.ClusterConfig{})
	// The banquet costing takes longer than the 10 s of one call between entry and agent.
	s.submit(0, "banquets", callerclient.Submission{
		ID:         "costing",
		Idempotent: true,
		Payload:    work(12*time.Second, ""),
	}, 0)
	for entry := range s.cluster.Entries {
		id := fmt.Sprintf("quote-%d", entry)
		quote := s.submit(entry, "weddings", callerclient.Submission{
			ID:         id,
			Idempotent: true,
			Payload:    work(20*time.Millisecond, id),
		}, few)
		require.Equal(t, "done", quote.State, quote.Reasons)
		require.Equal(t, id, quote.Answer)
		gang := s.submit(entry, "weddings", callerclient.Submission{
			ID:           fmt.Sprintf("gang-%d", entry),
			Idempotent:   true,
			Members:      2,
			Accelerators: 4,
			Scope:        "zone",
			Payload:      work(200*time.Millisecond, "g"),
		}, 2*few)
		require.Equal(t, "done", gang.State, gang.Reasons)
		require.JSONEq(t, `["g","g"]`, gang.Answer)
		never := s.submit(entry, "banquets", callerclient.Submission{
			ID:           fmt.Sprintf("never-%d", entry),
			Idempotent:   true,
			Members:      100,
			Accelerators: 8,
			Scope:        "rack",
			Payload:      work(time.Second, ""),
		}, few)
		require.Equal(t, "refused", never.State)
		require.NotEmpty(t, never.Reasons)
		other := (entry + 1) % len(s.cluster.Entries)
		require.Equal(t, id, s.awaitEnd(other, "weddings", id, few).Answer)
	}
	long := s.submit(0, "banquets", callerclient.Submission{
		ID:           "long",
		Idempotent:   true,
		Accelerators: 2,
		Payload:      work(time.Minute, "never"),
	}, 0)
	require.Equal(t, "queued", long.State)
	s.awaitState(1, "banquets", "long", "running", few)
	_, err := s.caller(2, "banquets").Cancel(t.Context(), "long")
	require.NoError(t, err)
	require.Equal(t, "cancelled", s.awaitEnd(1, "banquets", "long", few).State)
	require.Equal(t, "costing 1", s.awaitEnd(1, "banquets", "costing", 4*few).Answer)
	events := s.harness.Events()
	require.NoError(t, harness.NotRun(events, map[string]bool{
		"never-0": true,
		"never-1": true,
		"never-2": true,
	}))
}
