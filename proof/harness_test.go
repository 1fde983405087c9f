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
	// reactionTimeout is the bound for what is documented to happen "in a few seconds" or "within seconds".
	reactionTimeout = 5 * time.Second
	// settleTimeout is the time after the last fault within which accepted jobs must end. It covers the leases of an
	// unreachable executor, which a new scheduler waits out.
	settleTimeout = 40 * time.Second
	pollInterval  = 20 * time.Millisecond
	// executorSeed makes the clocks of the first two executors read more at first than after a restart, so that the next
	// incarnation accepts the deadlines of orders for the one before.
	executorSeed = 39
)

// zones are the availability zones of the Mauritius deployment.
var zones = []string{"port-louis", "curepipe", "grand-baie"} //nolint:gochecknoglobals // a constant list

// binaryPath is the path of the radishpath binary, which TestMain builds once.
var binaryPath string //nolint:gochecknoglobals // set in TestMain

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
	binaryPath = filepath.Join(directory, "radishpath")
	if output, buildErr := exec.Command("go", "build", "-o", binaryPath, "..").CombinedOutput(); buildErr != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, buildErr)
		return 1
	}
	return m.Run()
}

// harness is a running deployment with a published document.
type harness struct {
	t      *testing.T
	clock  clockwork.Clock
	client *cluster.Client
	*cluster.Cluster
	// mu guards lastJobID.
	mu        sync.Mutex
	lastJobID int
}

// newHarness starts three entries and the given number of agents in three zones, publishes the document and waits until
// all entries are ready and a first job has completed.
func newHarness(t *testing.T, agents int, document cluster.DocumentConfig) *harness {
	t.Helper()
	return newHarnessWithConfig(t, cluster.Config{Agents: agents}, document)
}

// newHarnessWithConfig is newHarness for a deployment that differs in more than the number of agents.
func newHarnessWithConfig(t *testing.T, config cluster.Config, document cluster.DocumentConfig) *harness {
	t.Helper()
	t.Parallel()
	clock := clockwork.NewRealClock()
	config.BinaryPath = binaryPath
	config.Clock = clock
	config.Entries = 3
	config.Zones = zones
	config.Seed = executorSeed
	deployment, err := cluster.Start(t.Context(), config)
	require.NoError(t, err)
	h := &harness{
		t:       t,
		clock:   clock,
		client:  cluster.NewClient(clock),
		Cluster: deployment,
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs in", deployment.KeepLogs())
		}
		deployment.Close()
	})
	require.NoError(t, h.Publish(1, cluster.DocumentText(document)))
	h.awaitEntriesReady(2 * reactionTimeout)
	firstJob := h.submit(h.job("10ms"))
	h.awaitCompleted(firstJob, 10*time.Second)
	return h
}

// job returns a job with a new id and one task that does what spec says.
func (h *harness) job(spec string) cluster.Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastJobID++
	return cluster.Job{
		ID:           fmt.Sprintf("%016x", h.lastJobID),
		Spec:         spec,
		Accelerators: 1,
		Estimate:     500 * time.Millisecond,
	}
}

// submit submits a job and requires that it is accepted.
func (h *harness) submit(job cluster.Job) cluster.Job {
	h.t.Helper()
	require.Equal(h.t, cluster.Accepted, h.client.Submit(h.t.Context(), h.CallerAddresses, job), job.ID)
	return job
}

// await polls a condition until it holds, and fails the test after the timeout.
func (h *harness) await(timeout time.Duration, description string, condition func() bool) {
	h.t.Helper()
	deadline := h.clock.Now().Add(timeout)
	for !condition() {
		if h.clock.Now().After(deadline) {
			require.FailNow(h.t, "timed out after "+timeout.String(), description)
		}
		h.clock.Sleep(pollInterval)
	}
}

// awaitEntriesReady waits until all entries are ready.
func (h *harness) awaitEntriesReady(timeout time.Duration) {
	h.t.Helper()
	h.await(timeout, "entries are ready", func() bool {
		for _, entry := range h.Entries {
			if !h.client.IsReady(h.t.Context(), entry.ReadyAddress) {
				return false
			}
		}
		return true
	})
}

// awaitCompleted queries the entries in turn until one of them reports a job as completed.
func (h *harness) awaitCompleted(job cluster.Job, timeout time.Duration) {
	h.t.Helper()
	attempt := 0
	h.await(timeout, job.ID+" is completed", func() bool {
		attempt++
		return h.client.State(h.t.Context(), h.CallerAddresses[attempt%len(h.CallerAddresses)], job) == "completed"
	})
}

// awaitRunning waits until a job's first task runs.
func (h *harness) awaitRunning(job cluster.Job, timeout time.Duration) {
	h.t.Helper()
	h.await(timeout, job.ID+" runs", func() bool { return h.Recorder.RunningOn(job.ID+".0.0.0") != "" })
}

// requireNoViolations requires that the simulated executors recorded no violation of an invariant.
func (h *harness) requireNoViolations() {
	h.t.Helper()
	require.Empty(h.t, h.Recorder.Violations())
}

// schedulerEntry returns the entry whose log has the highest scheduler epoch.
func (h *harness) schedulerEntry() *cluster.Process {
	h.t.Helper()
	scheduler, highest := h.Entries[0], ""
	for _, entry := range h.Entries {
		// Epochs are compared as decimal numbers: first by length, then by digits.
		if epoch := h.lastEpoch(entry); len(epoch) > len(highest) || (len(epoch) == len(highest) && epoch > highest) {
			scheduler, highest = entry, epoch
		}
	}
	return scheduler
}

// runInBackground runs a function in a goroutine. The returned function closes the stop channel and waits until run has
// returned.
func (h *harness) runInBackground(run func(stop <-chan struct{})) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		run(stop)
	}()
	return func() {
		close(stop)
		<-done
	}
}
