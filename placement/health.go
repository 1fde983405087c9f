package placement

import (
	"slices"
	"time"
)

const (
	// quarantineAfter is the number of different jobs that fail in a row on a worker before it is quarantined.
	quarantineAfter = 3
	// failsAfter is the number of workers on which a job fails before it ends with its reasons.
	failsAfter = 3
	// probeGrowth bounds the growth of the pause between probes.
	probeGrowth = 16
)

// health tells a worker that fails everything from jobs that fail everywhere.
type health struct {
	// streak lists the different jobs that failed on the worker since one succeeded.
	streak      []string
	quarantined bool
	until       time.Time
	pause       time.Duration
	// probing is the job that tests a quarantined worker.
	probing string
}

// fail records a failure and reports whether the worker is quarantined by it.
func (h *health) fail(now time.Time, job string, first time.Duration) bool {
	if !slices.Contains(h.streak, job) {
		h.streak = append(h.streak, job)
	}
	if h.quarantined {
		h.pause = min(2*h.pause, probeGrowth*first)
		h.until = now.Add(h.pause)
		return false
	}
	if len(h.streak) < quarantineAfter {
		return false
	}
	h.quarantined = true
	h.pause = first
	h.until = now.Add(first)
	return true
}

// forgive drops a job that failed everywhere from the worker's record. It reports whether that ends a quarantine.
func (h *health) forgive(job string) bool {
	if at := slices.Index(h.streak, job); at >= 0 {
		h.streak = slices.Delete(h.streak, at, at+1)
	}
	if h.quarantined && len(h.streak) < quarantineAfter {
		h.quarantined = false
		return true
	}
	return false
}

// succeed clears the record and reports whether that ends a quarantine.
func (h *health) succeed() bool {
	ended := h.quarantined
	*h = health{}
	return ended
}
