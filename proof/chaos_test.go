package proof

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/logserver"
	"radishpath.example/radishpath/standin/workerserver"
)

const (
	chaosTime = 60 * time.Second
	chaosSeed = 1
	// accountLimit is how long after the last fault every job must be accounted for.
	accountLimit = 60 * time.Second
)

// fault is a failure that can be injected and healed.
type fault struct {
	name string
	// log says that the log is unavailable to some entry meanwhile.
	log    bool
	inject func()
	heal   func()
}

// chaos injects random faults into a deployment.
type chaos struct {
	suite  *suite
	random *rand.Rand
	load   *load
	// outages are the times in which the log was unavailable to an entry.
	outages []period
}

// TestChaos guards against combinations of failures that no other test has: a seeded schedule of them, alone and in
// pairs, runs under a mixed load; then every job must be accounted for.
func TestChaos(t *testing.T) {
	t.Parallel()
	duration, seed := chaosTime, uint64(chaosSeed)
	if text := os.Getenv("RADISHPATH_CHAOS"); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		require.NoError(t, err)
	}
	if text := os.Getenv("RADISHPATH_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("RADISHPATH_CHAOS=%s RADISHPATH_SEED=%d", duration, seed)
	s := newSuite(t, 5, harness.ClusterConfig{
		Linked: true,
	})
	c := &chaos{
		suite:  s,
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // a schedule that can be repeated.
		load:   newLoad(s),
	}
	c.load.limit = duration + accountLimit
	c.load.choose = newBalancer(s).choose
	stop, stopped := make(chan struct{}), make(chan struct{})
	go c.stream(stop, stopped)
	until := s.clock.Now().Add(duration)
	for s.clock.Now().Before(until) {
		c.round()
	}
	close(stop)
	<-stopped
	healed := s.clock.Now()
	c.load.wait()
	took := s.clock.Since(healed)
	t.Logf("accounted for after %s", took)
	c.load.check()
	require.LessOrEqual(t, took, accountLimit, "jobs not accounted for")
	c.requireExplained()
	c.load.requireUndisturbed()
}

// round injects one or two faults at once for up to 6 s and heals them.
func (c *chaos) round() {
	s := c.suite
	faults := []fault{c.pick()}
	if c.random.IntN(2) == 0 {
		if second := c.pick(); second.name != faults[0].name {
			faults = append(faults, second)
		}
	}
	length := time.Duration(500+c.random.IntN(5500)) * time.Millisecond
	outage := period{
		from: s.clock.Now(),
	}
	log := false
	for _, f := range faults {
		s.t.Logf("%s for %s", f.name, length)
		f.inject()
		log = log || f.log
	}
	s.clock.Sleep(length)
	for _, f := range faults {
		f.heal()
	}
	outage.until = s.clock.Now()
	if log {
		c.outages = append(c.outages, outage)
	}
	s.clock.Sleep(time.Duration(c.random.IntN(2000)) * time.Millisecond)
}

// pick chooses a fault.
func (c *chaos) pick() fault {
	s := c.suite
	entry := s.cluster.Entries[c.random.IntN(len(s.cluster.Entries))]
	at := c.random.IntN(len(s.cluster.Agents))
	agent, worker := s.cluster.Agents[at], s.cluster.Workers[at]
	zone := zones[c.random.IntN(len(zones))]
	other := s.cluster.Entries[c.random.IntN(len(s.cluster.Entries))]
	network := s.harness.Network()
	choices := []fault{
		killed("entry killed: "+entry.Name, entry.Process),
		killed("agent killed: "+agent.Name, agent.Process),
		paused("entry paused: "+entry.Name, entry.Process),
		paused("agent paused: "+agent.Name, agent.Process),
		{
			name:   "log unavailable",
			log:    true,
			inject: func() { s.cluster.Log.SetFaults(logserver.Faults{Unavailable: "close"}) },
			heal:   func() { s.cluster.Log.SetFaults(logserver.Faults{}) },
		},
		{
			name: "log slow",
			log:  true,
			inject: func() {
				s.cluster.Log.SetFaults(logserver.Faults{
					Reads:   rest.Duration(2 * time.Second),
					Appends: rest.Duration(2 * time.Second),
				})
			},
			heal: func() { s.cluster.Log.SetFaults(logserver.Faults{}) },
		},
		{
			name:   "append responses lost",
			log:    true,
			inject: func() { s.cluster.Log.SetFaults(logserver.Faults{Lost: 10}) },
			heal:   func() { s.cluster.Log.SetFaults(logserver.Faults{}) },
		},
		{
			name:   "log cut off from " + entry.Name,
			log:    true,
			inject: func() { network.Cut(entry.Name, s.cluster.Log.Name) },
			heal:   func() { network.Heal(entry.Name, s.cluster.Log.Name) },
		},
		{
			name:   "agent cut off: " + agent.Name + " from " + entry.Name,
			inject: func() { network.Cut(agent.Name, entry.Name) },
			heal:   func() { network.Heal(agent.Name, entry.Name) },
		},
		{
			name:   "one way cut: " + entry.Name + " to " + other.Name,
			inject: func() { network.CutOneWay(entry.Name, other.Name) },
			heal:   func() { network.Heal(entry.Name, other.Name) },
		},
		{
			name:   "worker cut off: " + worker.Name,
			inject: func() { network.Cut(agent.Name, worker.Name) },
			heal:   func() { network.Heal(agent.Name, worker.Name) },
		},
		{
			name:   "worker fails everything: " + worker.Name,
			inject: func() { worker.SetFaults(workerserver.Faults{Fail: true}) },
			heal:   func() { worker.SetFaults(workerserver.Faults{}) },
		},
		{
			name:   "answers lost: " + worker.Name,
			inject: func() { worker.SetFaults(workerserver.Faults{Lost: 10}) },
			heal:   func() { worker.SetFaults(workerserver.Faults{}) },
		},
		{
			name:   "zone out: " + zone,
			inject: func() { c.publish(document([]string{zone}, "1x8@worker")) },
			heal:   func() { c.publish(document(nil, "1x8@worker")) },
		},
		{
			name:   "entry replaced: " + entry.Name,
			inject: func() { entry.Terminate() },
			heal:   entry.Restart,
		},
		{
			name:   "agent replaced: " + agent.Name,
			inject: func() { agent.Terminate() },
			heal:   agent.Restart,
		},
	}
	return choices[c.random.IntN(len(choices))]
}

func killed(name string, process *harness.Process) fault {
	return fault{
		name:   name,
		inject: process.Kill,
		heal:   process.Restart,
	}
}

func paused(name string, process *harness.Process) fault {
	return fault{
		name:   name,
		inject: process.Stop,
		heal:   process.Continue,
	}
}

// publish publishes through all entries at the same time; one of them wins, or none while the log is unavailable.
func (c *chaos) publish(text string) {
	ended := make(chan struct{})
	for entry := range c.suite.cluster.Entries {
		go func() {
			defer func() { ended <- struct{}{} }()
			admin := c.suite.admin(entry)
			current, err := admin.Document(c.suite.t.Context())
			if err != nil {
				return
			}
			_, _ = admin.Publish(c.suite.t.Context(), operator.PublishRequest{
				Base: current.Revision,
				Text: text,
			})
		}()
	}
	for range c.suite.cluster.Entries {
		<-ended
	}
}

// stream submits requests and gangs of all kinds until it is stopped.
func (c *chaos) stream(stop <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	const kinds = 8
	for at := 0; ; at++ {
		select {
		case <-stop:
			return
		case <-c.suite.clock.After(50 * time.Millisecond):
		}
		entry := at % len(c.suite.cluster.Entries)
		id := fmt.Sprintf("chaos-%d", at)
		job := quote(id, at%2 == 0, time.Duration(at%7*20)*time.Millisecond)
		switch at % kinds {
		case 3:
			job.Deadline = "2s"
		case 5:
			job = banquet(id, false, 300*time.Millisecond)
			job.Deadline = "20s"
		case 6:
			job = banquet(id, true, 300*time.Millisecond)
		}
		started := c.load.submit(entry, job)
		if at%11 == 0 {
			c.load.cancel(entry, started)
		}
	}
}

// requireExplained guards against jobs that were lost or failed without a reason, and against the state unknown while
// the log was available.
func (c *chaos) requireExplained() {
	t := c.suite.t
	for _, job := range c.load.jobs {
		if state := job.last.State; state == callerclient.StateLost || state == callerclient.StateFailed {
			require.NotEmpty(t, job.last.Reasons, "%s is %s", job.submission.ID, state)
		}
		for _, call := range job.unknown {
			require.True(t, c.inOutage(call), "%s unknown from %s to %s", job.submission.ID, call.from, call.until)
		}
	}
}

// inOutage says whether the log was unavailable to some entry during a part of the call.
func (c *chaos) inOutage(call period) bool {
	for _, outage := range c.outages {
		if call.from.Before(outage.until) && call.until.After(outage.from) {
			return true
		}
	}
	return false
}
