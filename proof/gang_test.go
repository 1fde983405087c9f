package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
)

// TestGangUnderFaults guards against gangs that lose their work, wait for members that never start, or run with only
// some of their members while a process fails.
func TestGangUnderFaults(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(h *harness)
		// mayEndAlone is set if a member may give up waiting for the others, because an agent is unavailable when the
		// members are started.
		mayEndAlone bool
	}{
		{name: "no fault", injectFault: func(*harness) {}},
		{name: "scheduler killed", injectFault: func(h *harness) { h.restart(h.schedulerEntry(), 0) }},
		{name: "agent killed", injectFault: func(h *harness) { h.restart(h.Agents[0], time.Second) }, mayEndAlone: true},
		{name: "agent paused", injectFault: func(h *harness) { h.Agents[0].Pause(3 * time.Second) }, mayEndAlone: true},
		{name: "executor restarted", injectFault: func(h *harness) { h.Executors[0].Restart() }, mayEndAlone: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 4, cluster.DocumentConfig{})
			var jobs []cluster.Job
			for range 4 {
				job := h.job("gpu 4 gang 3 save 2s")
				job.Tasks = 3
				job.Accelerators = 4
				job.Gang = true
				job.Checkpoints = true
				job.Estimate = 2 * time.Second
				jobs = append(jobs, h.submit(job))
			}
			h.awaitRunning(jobs[0], reactionTimeout)
			test.injectFault(h)
			for _, job := range jobs {
				h.awaitCompleted(job, settleTimeout)
				// The simulated executors end the members of a gang within one tick of each other.
				h.await(time.Second, "all members are done", func() bool { return h.Recorder.IsDone(job.ID + ".0.0.2") })
			}
			if !test.mayEndAlone {
				require.Zero(t, h.Recorder.EndCount("alone"))
			}
			h.requireNoViolations()
		})
	}
}

// TestGuaranteeReclaim guards against guaranteed work that waits too long while other jobs occupy its accelerators.
func TestGuaranteeReclaim(t *testing.T) {
	const reclaimLimit = 2700 * time.Millisecond
	tests := []struct {
		name        string
		injectFault func(h *harness)
		// startLimit is the documented limit for reclaiming accelerators; if the scheduler is killed, it includes the
		// time until another entry takes over.
		startLimit time.Duration
	}{
		{name: "no fault", injectFault: func(*harness) {}, startLimit: reclaimLimit},
		{
			name: "scheduler killed", injectFault: func(h *harness) { h.schedulerEntry().Kill() },
			startLimit: reclaimLimit + reactionTimeout,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, cluster.DocumentConfig{Guarantee: 8})
			for range 2 {
				job := h.job("gpu 8 30s")
				job.Accelerators = 8
				job.Estimate = 30 * time.Second
				h.awaitRunning(h.submit(job), reactionTimeout)
			}
			urgentJob := h.job("gpu 8 100ms")
			urgentJob.Accelerators = 8
			urgentJob.Prefix = "/urgent/"
			test.injectFault(h)
			urgentJob = h.submit(urgentJob)
			h.awaitRunning(urgentJob, test.startLimit)
			h.awaitCompleted(urgentJob, reactionTimeout)
			h.requireNoViolations()
		})
	}
}
