package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/logserver"
	"radishpath.example/radishpath/standin/workerserver"
)

// zoneCase is a failure around the publish that takes a zone out of service.
type zoneCase struct {
	name   string
	linked bool
	// before happens before the publish, after right after it was accepted.
	before func(s *suite)
	after  func(s *suite)
	// heal ends the failure; it runs after the stated bound has passed.
	heal func(s *suite)
}

// zoneOut is the index in zones of the zone that is taken out; its worker, agent and entry have the same index.
const zoneOut = 1

// TestZoneOut guards against a start in an availability zone later than 5 s after it was taken out of service, and
// against a zone that stays unused after its return.
func TestZoneOut(t *testing.T) {
	t.Parallel()
	cases := []zoneCase{
		{
			name: "no failure",
		},
		{
			// The calls that reached the paused agent meanwhile are answered with the old document in mind.
			name:   "agent paused across the publish",
			before: func(s *suite) { s.cluster.Agents[zoneOut].Stop() },
			heal:   func(s *suite) { s.cluster.Agents[zoneOut].Continue() },
		},
		{
			name:   "agent cut off from all entries",
			linked: true,
			before: func(s *suite) {
				s.harness.Network().Partition([]string{s.cluster.Agents[zoneOut].Name}, s.entryNames())
			},
			heal: func(s *suite) { s.harness.Network().HealAll() },
		},
		{
			// The agent still hears this entry, which can't know of the publish.
			name:   "entry cut off from the log and the other entries",
			linked: true,
			before: func(s *suite) {
				names := s.entryNames()
				s.harness.Network().Partition([]string{names[zoneOut]}, []string{"log", names[0], names[2]})
			},
			heal: func(s *suite) { s.harness.Network().HealAll() },
		},
		{
			// The agent hears nobody but an entry that can't know of the publish.
			name:   "agent reaches only an entry that is cut off",
			linked: true,
			before: func(s *suite) {
				names := s.entryNames()
				s.harness.Network().Partition([]string{names[zoneOut], s.cluster.Agents[zoneOut].Name},
					[]string{"log", names[0], names[2]})
			},
			heal: func(s *suite) { s.harness.Network().HealAll() },
		},
		{
			name: "log slow",
			before: func(s *suite) {
				s.cluster.Log.SetFaults(logserver.Faults{
					Reads:   rest.Duration(700 * time.Millisecond),
					Appends: rest.Duration(time.Second),
				})
			},
			heal: func(s *suite) { s.cluster.Log.SetFaults(logserver.Faults{}) },
		},
		{
			name: "log unavailable after the publish",
			after: func(s *suite) {
				s.cluster.Log.SetFaults(logserver.Faults{
					Unavailable: "refuse",
				})
			},
			heal: func(s *suite) { s.cluster.Log.SetFaults(logserver.Faults{}) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c zoneCase) run(t *testing.T) {
	t.Helper()
	s := newSuite(t, len(zones), harness.ClusterConfig{
		Linked: c.linked,
	})
	zone := zones[zoneOut]
	s.startLoad()
	s.awaitEvent(2*few, s.isDone(workerserver.KindRequest, zone, time.Time{}), "requests in "+zone)
	s.awaitEvent(2*few, s.isDone(workerserver.KindTask, zone, time.Time{}), "gangs in "+zone)

	runStep(s, c.before)
	_, accepted := s.accept(0, document([]string{zone}, "1x4@worker"))
	runStep(s, c.after)
	out := accepted.Add(few)
	// The failure outlasts the bound by the time that an entry without peers needs to serve a request, and calls that it
	// held back arrive within the seconds after it.
	s.pass(out.Add(3 * time.Second))
	runStep(s, c.heal)
	s.pass(out.Add(few))
	for _, other := range []string{zones[0], zones[2]} {
		require.Positive(t, s.countEvents(isStart(other, out)), "no work arrived in "+other)
	}

	back := s.clock.Now()
	s.accept(0, document(nil, "1x4@worker"))
	require.NoError(t, harness.NoStartInZone(s.harness.Events(), zone, out, back))
	s.awaitEvent(2*few, s.isDone(workerserver.KindRequest, zone, back), "requests complete in "+zone+" again")
	s.awaitEvent(2*few, s.isDone(workerserver.KindTask, zone, back), "gangs complete in "+zone+" again")
}

// runStep runs a step of a failure that may be left out.
func runStep(s *suite, step func(s *suite)) {
	s.t.Helper()
	if step != nil {
		step(s)
	}
}
