package proof

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/workerserver"
)

// TestLeaving guards against new work on a backend server later than 5 s after it said that it is leaving, and on an
// agent later than 5 s after it got SIGTERM.
func TestLeaving(t *testing.T) {
	t.Parallel()
	// The worker and agent that leave have this index.
	const leaving = 1
	say := func(s *suite, value bool) {
		s.cluster.Workers[leaving].SetFaults(workerserver.Faults{
			Leaving: value,
		})
	}
	pause := func(s *suite) { s.cluster.Agents[leaving].Stop() }
	resume := func(s *suite) { s.cluster.Agents[leaving].Continue() }
	killEntries := func(s *suite) {
		for _, entry := range s.cluster.Entries[:2] {
			entry.Restart()
		}
	}
	cases := []struct {
		name string
		// terminated says that the agent gets SIGTERM; otherwise the backend server says that it is leaving.
		terminated bool
		before     func(s *suite)
		after      func(s *suite)
		heal       func(s *suite)
	}{
		{
			name: "backend server",
		},
		{
			name:   "backend server while its agent is paused",
			before: pause,
			heal:   resume,
		},
		{
			name:  "backend server while entries are killed",
			after: killEntries,
		},
		{
			name:       "agent",
			terminated: true,
		},
		{
			name:       "agent while it is paused",
			terminated: true,
			before:     pause,
			heal:       resume,
		},
		{
			name:       "agent while entries are killed",
			terminated: true,
			after:      killEntries,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSuite(t, len(zones), harness.ClusterConfig{})
			zone := zones[leaving]
			// A task of five accelerators per worker keeps the terminated agent from ending at once.
			for i := range zones {
				s.submit(0, workspaces[0], callerclient.Submission{
					ID:           "long-" + zones[i],
					Idempotent:   true,
					Members:      1,
					Accelerators: 5,
					Scope:        "worker",
					Payload:      work(4*few, ""),
				}, 0)
			}
			s.awaitEvents(2*few, len(zones), isTaskStart, "long tasks")
			s.startLoad()
			s.awaitEvent(2*few, s.isDone(workerserver.KindRequest, zone, s.clock.Now()), "requests in "+zone)

			runStep(s, c.before)

			if c.terminated {
				s.terminate(s.cluster.Agents[leaving].Process)
			} else {
				say(s, true)
			}
			left := s.clock.Now()
			runStep(s, c.after)
			out := left.Add(few)
			s.pass(out)
			runStep(s, c.heal)
			s.pass(out.Add(few / 2))
			back := s.clock.Now()
			require.NoError(t, harness.NoStartOn(s.harness.Events(), s.cluster.Workers[leaving].Config.ID, out, back))
			require.Positive(t, s.countEvents(isStart(zones[0], out)), "no work arrived elsewhere")
			if c.terminated {
				return
			}
			say(s, false)
			s.awaitEvent(2*few, s.isDone(workerserver.KindRequest, zone, back), "requests in "+zone+" again")
		})
	}
}
