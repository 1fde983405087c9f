package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
)

const (
	// few is the stated bound for "a few seconds" and "within seconds".
	few = 5 * time.Second
	// settle is how long accepted jobs may take to end after the last fault; it covers leases of an executor that is
	// gone, which a new scheduler waits for.
	settle = 40 * time.Second
	tick   = 20 * time.Millisecond
)

// zones are those of the Mauritius deployment.
var zones = []string{"port-louis", "curepipe", "grand-baie"} //nolint:gochecknoglobals // a constant list

// program is the binary under test, built once.
var program string //nolint:gochecknoglobals // set in TestMain

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "radishpath-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program = filepath.Join(directory, "radishpath")
	if output, buildErr := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); buildErr != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, buildErr)
		return 1
	}
	return m.Run()
}

// suite is a running deployment with a published document.
type suite struct {
	t      *testing.T
	clock  clockwork.Clock
	client *cluster.Client
	*cluster.Cluster
	mu   sync.Mutex
	next int
}

// newSuite starts three entries and some agents in three zones, publishes the document and waits until all entries are
// ready and every executor has been heard.
func newSuite(t *testing.T, agents int, document cluster.DocumentConfig) *suite {
	t.Helper()
	t.Parallel()
	clock := clockwork.NewRealClock()
	started, err := cluster.Start(t.Context(), cluster.Config{
		Bin:     program,
		Clock:   clock,
		Entries: 3,
		Agents:  agents,
		Zones:   zones,
	})
	require.NoError(t, err)
	s := &suite{
		t:       t,
		clock:   clock,
		client:  cluster.NewClient(clock),
		Cluster: started,
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs in", started.KeepLogs())
		}
		started.Close()
	})
	require.NoError(t, s.Publish(1, cluster.Document(document)))
	s.await(10*time.Second, "entries are ready", func() bool {
		for _, entry := range s.Entries {
			if !s.client.IsReady(t.Context(), entry.Ready) {
				return false
			}
		}
		return true
	})
	first := s.submit(s.job("10ms"))
	s.awaitCompleted(first, 10*time.Second)
	return s
}

// job returns a job of one task.
func (s *suite) job(spec string) cluster.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return cluster.Job{
		ID:           fmt.Sprintf("%016x", s.next),
		Spec:         spec,
		Accelerators: 1,
		Estimate:     500 * time.Millisecond,
	}
}

// submit hands a job in, which must be accepted.
func (s *suite) submit(job cluster.Job) cluster.Job {
	s.t.Helper()
	require.Equal(s.t, cluster.Accepted, s.client.Submit(s.t.Context(), s.Callers, job), job.ID)
	return job
}

// await waits until a condition holds.
func (s *suite) await(limit time.Duration, what string, holds func() bool) {
	s.t.Helper()
	deadline := s.clock.Now().Add(limit)
	for !holds() {
		if s.clock.Now().After(deadline) {
			require.FailNow(s.t, "timed out after "+limit.String(), what)
		}
		s.clock.Sleep(tick)
	}
}

// awaitCompleted asks the entries in turn until one shows a job as completed.
func (s *suite) awaitCompleted(job cluster.Job, limit time.Duration) {
	s.t.Helper()
	entry := 0
	s.await(limit, job.ID+" is completed", func() bool {
		entry++
		return s.client.State(s.t.Context(), s.Callers[entry%len(s.Callers)], job) == "completed"
	})
}

// awaitRunning waits until a job's first task runs.
func (s *suite) awaitRunning(job cluster.Job, limit time.Duration) {
	s.t.Helper()
	s.await(limit, job.ID+" runs", func() bool { return s.Record.Running(job.ID+".0.0.0") != "" })
}

// intact requires that no promise was broken at the executors.
func (s *suite) intact() {
	s.t.Helper()
	require.Empty(s.t, s.Record.Broken())
}

// scheduler returns the entry that schedules, by its log.
func (s *suite) scheduler() *cluster.Process {
	s.t.Helper()
	newest, epoch := s.Entries[0], ""
	for _, entry := range s.Entries {
		if seen := s.lastEpoch(entry); len(seen) > len(epoch) || (len(seen) == len(epoch) && seen > epoch) {
			newest, epoch = entry, seen
		}
	}
	return newest
}

// background runs something until the returned function is called, which waits for its end.
func (s *suite) background(work func(stop <-chan struct{})) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		work(stop)
	}()
	return func() {
		close(stop)
		<-done
	}
}
