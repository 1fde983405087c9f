package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/logserver"
	"radishpath.example/radishpath/standin/workerserver"
)

// reclaim is the limit in the text that document returns.
const reclaim = 3 * time.Second

// TestGuarantee guards against borrowers that keep a workspace from its guaranteed shape for longer than the document's
// limit. Each worker is full of borrowers that run for longer than the test looks on.
func TestGuarantee(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// before happens before the workspace's request, after right after it was sent. The limit counts from the
		// end of after, or from the request if there is none.
		before func(s *suite)
		after  func(s *suite)
	}{
		{
			name: "no failure",
		},
		{
			// The placer owns the borrowers too, so nobody owns them until they are adopted.
			name:  "placer killed at the request",
			after: func(s *suite) { s.cluster.Entries[s.placer()].Kill() },
		},
		{
			name: "placer killed during the reclaim",
			after: func(s *suite) {
				s.awaitEvent(reclaim, isTaskEnd, "end of a borrower")
				s.cluster.Entries[s.placer()].Kill()
			},
		},
		{
			name: "log unavailable at the request",
			before: func(s *suite) {
				s.cluster.Log.SetFaults(logserver.Faults{
					Unavailable: "refuse",
				})
			},
			after: func(s *suite) {
				s.pass(s.clock.Now().Add(time.Second))
				s.cluster.Log.SetFaults(logserver.Faults{})
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSuite(t, len(zones), harness.ClusterConfig{})
			s.publish(1, document(nil, "1x8@worker"))
			for i := range 2 * len(zones) {
				s.submit(s.placer(), workspaces[1], callerclient.Submission{
					ID:             fmt.Sprintf("borrower-%d", i),
					Idempotent:     true,
					Checkpointable: true,
					Members:        1,
					Accelerators:   4,
					Scope:          "worker",
					Payload:        work(time.Minute, ""),
				}, 0)
			}
			s.awaitEvents(2*few, 2*len(zones), isTaskStart, "borrowers on all accelerators")

			entry := (s.placer() + 1) % len(s.cluster.Entries)
			runStep(s, c.before)
			asked := s.clock.Now()
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = s.caller(entry, workspaces[0]).Submit(t.Context(), callerclient.Submission{
					ID:           "guaranteed",
					Members:      1,
					Accelerators: 8,
					Scope:        "worker",
					Payload:      work(time.Second, ""),
				}, few)
			}()
			t.Cleanup(func() { <-sent })
			if c.after != nil {
				c.after(s)
				asked = s.clock.Now()
			}
			s.pass(asked.Add(reclaim))
			var started time.Duration
			for _, event := range s.harness.Events() {
				if event.Event == workerserver.EventStart && event.Job == "guaranteed" {
					started = event.Time.Sub(asked)
				}
			}
			require.NotZero(t, started, "the guaranteed shape has not started within the reclaim limit")
			t.Logf("started after %s", started)
			s.awaitEvent(2*few, func(event workerserver.Event) bool {
				return event.Job == "guaranteed" && isTaskEnd(event)
			}, "end of the guaranteed job")
			require.Equal(t, "done", s.awaitEnd(entry, workspaces[0], "guaranteed", few).State)
		})
	}
}
