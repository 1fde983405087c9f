package dispatch

import "time"

const (
	// faultyJobExecutors is the number of executors on which a job must fail for the job to be considered the cause.
	faultyJobExecutors = 3
	// quarantineThreshold is the number of distinct jobs that must fail in a row to quarantine an executor.
	quarantineThreshold = 2
	// minQuarantine and maxQuarantine bound the quarantine, which doubles each time an executor fails again.
	minQuarantine = 3 * time.Second
	maxQuarantine = 12 * time.Second
	// gangFailureCooldown is how long after a failure an executor gets no gang member while others have free resources. An
	// executor that fails intermittently has successes in between, but one failure loses the work of all gang members.
	gangFailureCooldown = 8 * time.Second
)

// health distinguishes an executor that fails every run from one that was assigned faulty jobs.
type health struct {
	// failedJobs holds the jobs whose runs failed since the last success.
	failedJobs map[string]bool
	// lastFailures holds the time of each job's last failed run, regardless of later successes.
	lastFailures map[string]time.Duration
	// quarantinedUntil is when the executor may be tried again.
	quarantinedUntil   time.Duration
	quarantineDuration time.Duration
}

func (h *health) resetFailures() {
	h.failedJobs = nil
	h.quarantineDuration = 0
	h.quarantinedUntil = 0
}

// recordFailure records a failed run and reports whether the executor is quarantined.
func (h *health) recordFailure(job string, now time.Duration) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if h.lastFailures == nil {
		h.lastFailures = map[string]time.Duration{}
	}
	h.lastFailures[job] = now
	if len(h.failedJobs) < quarantineThreshold {
		return false
	}
	h.startQuarantine(now)
	return true
}

// removeJob removes the failures of a faulty job.
func (h *health) removeJob(job string) {
	delete(h.failedJobs, job)
	delete(h.lastFailures, job)
}

// failedRecently reports whether a run failed recently. Gangs avoid such executors even after later successes.
func (h *health) failedRecently(now time.Duration) bool {
	for job, failedAt := range h.lastFailures {
		if now-failedAt < gangFailureCooldown {
			return true
		}
		delete(h.lastFailures, job)
	}
	return false
}

// startQuarantine withholds work from the executor for a period. An executor that was quarantined for failed runs is
// quarantined again after one more failure.
func (h *health) startQuarantine(now time.Duration) {
	h.quarantineDuration = min(max(2*h.quarantineDuration, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now + h.quarantineDuration
}

func (h *health) schedulable(now time.Duration) bool {
	return now >= h.quarantinedUntil
}
