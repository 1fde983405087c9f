package proof

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/storeserver"
)

// TestOnce guards against work that runs twice at the same time or again after it was done, against accepted jobs that
// are lost, and against jobs that run although every try was refused. Jobs go on being handed in while something fails.
func TestOnce(t *testing.T) {
	const lasts = 3 * time.Second
	tests := []struct {
		name  string
		fault func(s *suite)
	}{
		{name: "scheduler killed", fault: func(s *suite) { s.restart(s.scheduler(), time.Second) }},
		{name: "scheduler paused", fault: func(s *suite) { s.scheduler().Pause(lasts) }},
		{name: "agent killed", fault: func(s *suite) { s.restart(s.Agents[0], time.Second) }},
		{name: "agent paused", fault: func(s *suite) { s.Agents[1].Pause(lasts) }},
		{name: "executor starts anew", fault: func(s *suite) { s.Executors[2].Restart() }},
		{name: "store silent for all", fault: func(s *suite) { s.store(storeserver.FaultSilent, lasts, s.Entries...) }},
		{name: "store loses answers", fault: func(s *suite) { s.store(storeserver.FaultLost, lasts, s.Entries...) }},
		{name: "store turns the scheduler away", fault: func(s *suite) {
			s.store(storeserver.FaultBusy, lasts, s.scheduler())
		}},
		{name: "store forgets its history", fault: func(s *suite) { s.Store.ForgetAll() }},
		{name: "all entries killed", fault: func(s *suite) {
			for _, entry := range s.Entries {
				entry.Kill()
			}
			for _, entry := range s.Entries {
				require.NoError(s.t, entry.Start(s.t.Context()))
			}
		}},
		{name: "all processes killed", fault: func(s *suite) {
			for _, p := range s.Processes() {
				p.Kill()
			}
			for _, p := range s.Processes() {
				require.NoError(s.t, p.Start(s.t.Context()))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSuite(t, 4, cluster.DocumentConfig{})
			load := s.load(8, 1)
			s.clock.Sleep(time.Second)
			test.fault(s)
			s.clock.Sleep(time.Second)
			load.finish()
			require.NotEmpty(t, load.accepted)
			s.intact()
		})
	}
}

// TestOneIdIsOneJob guards against a job that runs once for each entry that it is handed in to.
func TestOneIdIsOneJob(t *testing.T) {
	s := newSuite(t, 3, cluster.DocumentConfig{})
	job := s.job("300ms")
	var calls sync.WaitGroup
	for round := range 9 {
		calls.Go(func() {
			status, err := s.client.SubmitOnce(t.Context(), s.Callers[round%len(s.Callers)], job)
			require.NoError(t, err)
			require.Equal(t, 200, status)
		})
	}
	calls.Wait()
	s.awaitCompleted(job, few)
	status, err := s.client.SubmitOnce(t.Context(), s.Callers[2], job)
	require.NoError(t, err)
	require.Equal(t, 200, status, "also after its end")
	s.clock.Sleep(time.Second)
	require.Equal(t, 1, s.Record.Starts(job.ID+".0.0.0"))
	s.intact()
}

// restart kills a process and starts it again after a while.
func (s *suite) restart(p *cluster.Process, down time.Duration) {
	require.NoError(s.t, p.Restart(s.t.Context(), syscall.SIGKILL, down))
}

// store makes the store misbehave for some entries for a while.
func (s *suite) store(fault storeserver.Fault, lasts time.Duration, entries ...*cluster.Process) {
	for _, entry := range entries {
		entry.Door.Set(fault, 0)
	}
	s.clock.Sleep(lasts)
	for _, entry := range entries {
		entry.Door.Set(storeserver.FaultNone, 0)
	}
}

// load hands in jobs all the time.
type load struct {
	suite    *suite
	stop     func()
	mu       sync.Mutex
	accepted []cluster.Job
	refused  []cluster.Job
}

// load starts to hand in so many jobs a second, whose tasks take so many accelerators each.
func (s *suite) load(rate, accelerators int) *load {
	l := &load{
		suite: s,
	}
	l.stop = s.background(func(stop <-chan struct{}) {
		var calls sync.WaitGroup
		defer calls.Wait()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-s.clock.After(time.Second / time.Duration(rate)):
			}
			job := s.job(fmt.Sprintf("gpu %d %dms", accelerators, 100+50*(number%6)))
			job.Accelerators = accelerators
			job.Tasks = 1 + number%2
			calls.Go(func() { l.submit(job, number) })
		}
	})
	return l
}

func (l *load) submit(job cluster.Job, number int) {
	first := number % len(l.suite.Callers)
	entries := append(append([]string{}, l.suite.Callers[first:]...), l.suite.Callers[:first]...)
	outcome := l.suite.client.Submit(l.suite.t.Context(), entries, job)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case cluster.Accepted:
		l.accepted = append(l.accepted, job)
	case cluster.Refused:
		l.refused = append(l.refused, job)
	case cluster.Unknown:
	}
}

// finish stops the load and holds what callers were told against what ran.
func (l *load) finish() {
	l.suite.t.Helper()
	l.stop()
	for _, job := range l.accepted {
		l.suite.awaitCompleted(job, settle)
		require.True(l.suite.t, l.suite.Record.Done(job.ID+".0.0.0"), "%s is completed and not done", job.ID)
	}
	for _, job := range l.refused {
		require.Zero(l.suite.t, l.suite.Record.Starts(job.ID+".0.0.0"), "%s was refused and ran", job.ID)
	}
}
