package placement

import (
	"slices"
	"time"
)

const (
	// quarantineFailures is the number of different jobs that have to fail on a worker, without a success in between,
	// before it is quarantined.
	quarantineFailures = 3
	// maxFailedWorkers is the number of workers on which a job may fail before it is refused.
	maxFailedWorkers = 3
	// maxProbeBackoff bounds the probe interval, as a multiple of Config.InitialProbeInterval.
	maxProbeBackoff = 16
)

// health distinguishes a worker on which every job fails from jobs that fail on every worker.
type health struct {
	// failedJobs lists the different jobs that have failed on the worker since the last success.
	failedJobs    []string
	quarantined   bool
	nextProbe     time.Time
	probeInterval time.Duration
	// probeJob is the ID of the job that currently tests a quarantined worker.
	probeJob string
}

// recordFailure records the failure of a job and reports whether the worker is quarantined because of it. A failure
// during the quarantine doubles the probe interval.
func (h *health) recordFailure(now time.Time, job string, initialInterval time.Duration) bool {
	if !slices.Contains(h.failedJobs, job) {
		h.failedJobs = append(h.failedJobs, job)
	}
	if h.quarantined {
		h.probeInterval = min(2*h.probeInterval, maxProbeBackoff*initialInterval)
		h.nextProbe = now.Add(h.probeInterval)
		return false
	}
	if len(h.failedJobs) < quarantineFailures {
		return false
	}
	h.quarantined = true
	h.probeInterval = initialInterval
	h.nextProbe = now.Add(initialInterval)
	return true
}

// removeFailure removes a job that failed on several workers from the failures of this worker. It reports whether that
// ends a quarantine.
func (h *health) removeFailure(job string) bool {
	if index := slices.Index(h.failedJobs, job); index >= 0 {
		h.failedJobs = slices.Delete(h.failedJobs, index, index+1)
	}
	if h.quarantined && len(h.failedJobs) < quarantineFailures {
		h.quarantined = false
		return true
	}
	return false
}

// recordSuccess clears the failures and reports whether that ends a quarantine.
func (h *health) recordSuccess() bool {
	wasQuarantined := h.quarantined
	*h = health{}
	return wasQuarantined
}
