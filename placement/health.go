package placement

import (
	"slices"
	"time"
)

const (
	// quarantineAfter is the number of different jobs that fail in a row on a worker before it is quarantined.
	quarantineFailures = 3
	// failsAfter is the number of workers on which a job fails before it ends with its reasons.
	maxFailedWorkers = 3
	// probeGrowth bounds the growth of the pause between probes.
	maxProbeBackoff = 16
)

// health tells a worker that fails everything from jobs that fail everywhere.
type health struct {
	// streak lists the different jobs that failed on the worker since one succeeded.
	failedJobs    []string
	quarantined   bool
	nextProbe     time.Time
	probeInterval time.Duration
	// probing is the job that tests a quarantined worker.
	probeJob string
}

// fail records a failure and reports whether the worker is quarantined by it.
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

// forgive drops a job that failed everywhere from the worker's record. It reports whether that ends a quarantine.
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

// succeed clears the record and reports whether that ends a quarantine.
func (h *health) recordSuccess() bool {
	wasQuarantined := h.quarantined
	*h = health{}
	return wasQuarantined
}
