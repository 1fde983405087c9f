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

// TestExactlyOnceUnderFaults guards against tasks that run twice at the same time or again after they were done,
// against accepted jobs that are lost, and against jobs that run although every submission was rejected. Callers keep
// submitting jobs while the fault lasts.
func TestExactlyOnceUnderFaults(t *testing.T) {
	const faultDuration = 3 * time.Second
	tests := []struct {
		name        string
		injectFault func(h *harness)
	}{
		{name: "scheduler killed", injectFault: func(h *harness) { h.restart(h.schedulerEntry(), time.Second) }},
		{name: "scheduler paused", injectFault: func(h *harness) { h.schedulerEntry().Pause(faultDuration) }},
		{name: "agent killed", injectFault: func(h *harness) { h.restart(h.Agents[0], time.Second) }},
		{name: "agent paused", injectFault: func(h *harness) { h.Agents[1].Pause(faultDuration) }},
		{name: "executor restarted", injectFault: func(h *harness) { h.Executors[2].Restart() }},
		{name: "store unresponsive for all entries", injectFault: func(h *harness) {
			h.injectStoreFault(storeserver.FaultUnresponsive, faultDuration, h.Entries...)
		}},
		{name: "store drops responses", injectFault: func(h *harness) {
			h.injectStoreFault(storeserver.FaultDropResponse, faultDuration, h.Entries...)
		}},
		{name: "store rejects the scheduler's requests", injectFault: func(h *harness) {
			h.injectStoreFault(storeserver.FaultUnavailable, faultDuration, h.schedulerEntry())
		}},
		{name: "store compacts its logs", injectFault: func(h *harness) { h.Store.CompactAll() }},
		{name: "all entries killed", injectFault: func(h *harness) {
			for _, entry := range h.Entries {
				entry.Kill()
			}
			for _, entry := range h.Entries {
				require.NoError(h.t, entry.Start(h.t.Context()))
			}
		}},
		{name: "all processes killed", injectFault: func(h *harness) {
			for _, p := range h.Processes() {
				p.Kill()
			}
			for _, p := range h.Processes() {
				require.NoError(h.t, p.Start(h.t.Context()))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 4, cluster.DocumentConfig{})
			load := h.load(8, 1)
			h.clock.Sleep(time.Second)
			test.injectFault(h)
			h.clock.Sleep(time.Second)
			load.stopAndVerify()
			require.NotEmpty(t, load.accepted)
			h.requireNoViolations()
		})
	}
}

// TestDuplicateSubmissionsRunOnce guards against a job that runs more than once because it is submitted repeatedly
// under one id, to several entries at the same time and again after its end.
func TestDuplicateSubmissionsRunOnce(t *testing.T) {
	h := newHarness(t, 3, cluster.DocumentConfig{})
	job := h.job("300ms")
	var calls sync.WaitGroup
	for i := range 9 {
		calls.Go(func() {
			status, err := h.client.SubmitOnce(t.Context(), h.CallerAddresses[i%len(h.CallerAddresses)], job)
			require.NoError(t, err)
			require.Equal(t, 200, status)
		})
	}
	calls.Wait()
	h.awaitCompleted(job, reactionTimeout)
	status, err := h.client.SubmitOnce(t.Context(), h.CallerAddresses[2], job)
	require.NoError(t, err)
	require.Equal(t, 200, status, "submission after the job's end")
	h.clock.Sleep(time.Second)
	require.Equal(t, 1, h.Recorder.StartCount(job.ID+".0.0.0"))
	h.requireNoViolations()
}

// restart kills a process and starts it again after the downtime.
func (h *harness) restart(p *cluster.Process, downtime time.Duration) {
	require.NoError(h.t, p.Restart(h.t.Context(), syscall.SIGKILL, downtime))
}

// injectStoreFault injects a fault into the store connections of the given entries and returns when it is over.
func (h *harness) injectStoreFault(fault storeserver.Fault, duration time.Duration, entries ...*cluster.Process) {
	for _, entry := range entries {
		entry.Endpoint.SetFault(fault, 0)
	}
	h.clock.Sleep(duration)
	for _, entry := range entries {
		entry.Endpoint.SetFault(storeserver.FaultNone, 0)
	}
}

// load submits jobs at a constant rate in the background and records which of them were accepted or rejected.
type load struct {
	harness  *harness
	stop     func()
	mu       sync.Mutex
	accepted []cluster.Job
	rejected []cluster.Job
}

// load starts a load with the given number of jobs per second and of accelerators per task.
func (h *harness) load(jobsPerSecond, accelerators int) *load {
	l := &load{
		harness: h,
	}
	l.stop = h.runInBackground(func(stop <-chan struct{}) {
		var calls sync.WaitGroup
		defer calls.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-h.clock.After(time.Second / time.Duration(jobsPerSecond)):
			}
			job := h.job(fmt.Sprintf("gpu %d %dms", accelerators, 100+50*(i%6)))
			job.Accelerators = accelerators
			job.Tasks = 1 + i%2
			calls.Go(func() { l.submit(job, i) })
		}
	})
	return l
}

// submit submits a job, starting with the entry that its index selects.
func (l *load) submit(job cluster.Job, index int) {
	firstEntry := index % len(l.harness.CallerAddresses)
	addresses := append(append([]string{}, l.harness.CallerAddresses[firstEntry:]...),
		l.harness.CallerAddresses[:firstEntry]...)
	outcome := l.harness.client.Submit(l.harness.t.Context(), addresses, job)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case cluster.Accepted:
		l.accepted = append(l.accepted, job)
	case cluster.Rejected:
		l.rejected = append(l.rejected, job)
	case cluster.Unknown:
	}
}

// stopAndVerify stops the load and checks that every accepted job completes and that no rejected job was started.
func (l *load) stopAndVerify() {
	l.harness.t.Helper()
	l.stop()
	for _, job := range l.accepted {
		l.harness.awaitCompleted(job, settleTimeout)
		require.True(l.harness.t, l.harness.Recorder.IsDone(job.ID+".0.0.0"),
			"%s is reported as completed, but its first task isn't done", job.ID)
	}
	for _, job := range l.rejected {
		require.Zero(l.harness.t, l.harness.Recorder.StartCount(job.ID+".0.0.0"),
			"%s was rejected but its first task was started", job.ID)
	}
}
