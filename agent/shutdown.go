package agent

import (
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
)

// shutdownEvidence is what shows that everything that ran on an executor has ended, although its end wasn't reported,
// as written to the log. A refused connection alone is none: the link to an executor that runs on may refuse it.
type shutdownEvidence string

const (
	noEvidence shutdownEvidence = ""
	// evidenceNotice is that the executor has said that it shuts down, which it does last of all, once the time is over
	// that it said to stay, and that nothing listens at its address since.
	evidenceNotice shutdownEvidence = "shutdown notice"
	// evidenceSuccessor is an answer of another executor, since one follows the other at an address.
	evidenceSuccessor shutdownEvidence = "successor"
	// evidenceLeases is that no lease of its runs can last any longer.
	evidenceLeases shutdownEvidence = "leases ended"
)

// failedHold is a hold that got no answer from the executor that it was for.
type failedHold struct {
	requestedAt time.Duration
	err         error
	// sinceAnswer is how long before its failure the executor last answered one, without the time for which the machine
	// was suspended: that may not count for the executor's leases either. It is negative if none was answered.
	sinceAnswer time.Duration
}

// shutdownEvidence returns what shows after a failed hold that a draining executor has ended. One that doesn't drain
// has crashed or is cut off, which the scheduler tells apart.
func (i *incarnation) shutdownEvidence(failed failedHold, stopGrace time.Duration) shutdownEvidence {
	noticed := i.shutdownAt != 0 && failed.requestedAt > i.shutdownAt && i.stayIsOver(failed.requestedAt)
	switch {
	case !i.executor.GetDraining():
		return noEvidence
	case errors.Is(failed.err, cell.ErrOtherIncarnation):
		return evidenceSuccessor
	case noticed && errors.Is(failed.err, cell.ErrNotListening):
		return evidenceNotice
	case i.leasesEnded(failed.sinceAnswer, stopGrace):
		return evidenceLeases
	}
	return noEvidence
}

// stayIsOver reports whether the time is over that a draining executor said to stay. A notice that it shuts down before
// is that of an earlier incarnation.
func (i *incarnation) stayIsOver(now time.Duration) bool {
	return i.leavesAt == 0 || i.earliestClock(now) >= i.leavesAt
}

// leasesEnded reports whether all leases have certainly ended that were requested for the executor's runs.
func (i *incarnation) leasesEnded(sinceAnswer, stopGrace time.Duration) bool {
	left := max(i.leases.end-i.inventory.Clock, 0)
	return i.leases.known && sinceAnswer > cell.LeaseTimeout(left, stopGrace)
}

// confirmShutdown records that the executor is gone if a failed hold shows it, and reports whether it does. The caller
// holds the mutex.
func (c *Controller) confirmShutdown(current *incarnation, requestedAt time.Duration, err error) bool {
	failed := failedHold{
		requestedAt: requestedAt,
		err:         err,
		sinceAnswer: c.sinceAnswer(current),
	}
	evidence := current.shutdownEvidence(failed, c.config.StopGrace)
	if evidence == noEvidence || c.incarnation != current {
		return false
	}
	current.executor.Gone = true
	if evidence == current.shownEvidence {
		// A heartbeat has made it count as present since.
		return true
	}
	current.shownEvidence = evidence
	c.config.Logger.Info("executor has ended", "executor", current.executor.GetId(), "born", current.executor.GetBorn(),
		"evidence", string(evidence), "answered", failed.sinceAnswer.Milliseconds(),
		"lease", (current.leases.end - current.inventory.Clock).Milliseconds(), "running", len(current.runningTasks()),
		"error", err)
	return true
}

// sinceAnswer returns how long ago the executor last answered a hold, negative if it hasn't.
func (c *Controller) sinceAnswer(current *incarnation) time.Duration {
	if current.answeredAt.IsZero() {
		return -1
	}
	return c.config.Clock.Since(current.answeredAt)
}

// refuteShutdown drops the notice that the executor shuts down if a hold that was requested after it was answered.
func (i *incarnation) refuteShutdown(requestedAt time.Duration) {
	if requestedAt > i.shutdownAt {
		i.shutdownAt = 0
	}
}
