package dispatch

import "time"

const (
	// faultyTaskExecutors is the number of executors on which a task or gang must fail to be considered the cause.
	faultyTaskExecutors = 3
	// quarantineThreshold is the number of distinct tasks or gangs that must fail in a row to quarantine an executor.
	quarantineThreshold = 2
	// minQuarantine and maxQuarantine bound the quarantine, which doubles each time an executor fails again.
	minQuarantine = 3 * time.Second
	maxQuarantine = 12 * time.Second
	// failureCooldown is how long after a failure an executor gets no gang member and no task that failed before, while
	// others have free resources. An executor that fails intermittently has successes in between, but one failure loses
	// the work of all gang members, or another of the few attempts of a task.
	failureCooldown = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a failed task runs again, which doubles with each failure.
	// Attempts in quick succession would be used up before the failures of other tasks show that the executors are the
	// cause.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
)

// retryDelay returns the delay before a task that failed that many times runs again.
func retryDelay(failures int32) time.Duration {
	delay := minRetryDelay
	for ; failures > 1 && delay < maxRetryDelay; failures-- {
		delay *= 2
	}
	return min(delay, maxRetryDelay)
}

// health distinguishes an executor that fails every run from one that was assigned faulty tasks.
type health struct {
	// failed holds the tasks and gangs of which a run failed since the last success. A gang counts once, however many
	// of its members failed.
	failed map[*attempts]bool
	// lastFailures holds the time of the last failed run of each, regardless of later successes.
	lastFailures map[*attempts]time.Duration
	// quarantinedUntil is when the executor may be tried again.
	quarantinedUntil   time.Duration
	quarantineDuration time.Duration
}

func (h *health) resetFailures() {
	h.failed = nil
	h.quarantineDuration = 0
	h.quarantinedUntil = 0
}

// recordFailure records a failed run and reports whether the executor is quarantined.
func (h *health) recordFailure(a *attempts, now time.Duration) bool {
	if h.failed == nil {
		h.failed = map[*attempts]bool{}
	}
	h.failed[a] = true
	if h.lastFailures == nil {
		h.lastFailures = map[*attempts]time.Duration{}
	}
	h.lastFailures[a] = now
	if len(h.failed) < quarantineThreshold {
		return false
	}
	h.startQuarantine(now)
	return true
}

// remove removes the failures of a faulty task or gang, and ends a quarantine that they caused.
func (h *health) remove(a *attempts) {
	if !h.failed[a] {
		return
	}
	delete(h.failed, a)
	delete(h.lastFailures, a)
	if len(h.failed) < quarantineThreshold {
		h.quarantinedUntil = 0
	}
}

// failedRecently reports whether a run failed recently, regardless of later successes.
func (h *health) failedRecently(now time.Duration) bool {
	for a, failedAt := range h.lastFailures {
		if now-failedAt < failureCooldown {
			return true
		}
		delete(h.lastFailures, a)
	}
	return false
}

// startQuarantine withholds work from the executor for a period. An executor that was quarantined for failed runs is
// quarantined again after one more failure. Runs that fail or stall during a quarantine don't double it: most were
// started before, and show the same fault of the executor.
func (h *health) startQuarantine(now time.Duration) {
	if h.schedulable(now) {
		h.quarantineDuration = min(max(2*h.quarantineDuration, minQuarantine), maxQuarantine)
	}
	h.quarantinedUntil = now + h.quarantineDuration
}

func (h *health) schedulable(now time.Duration) bool {
	return now >= h.quarantinedUntil
}
