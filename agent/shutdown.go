package agent

import (
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
)

// shutdownEvidence is what shows that everything that ran on an executor has ended, although its end wasn't reported,
// as written to the log. A refused connection alone is none: the link to an executor that runs on may refuse it.
// Without evidence, the scheduler waits for the end of the leases.
type shutdownEvidence string

const (
	noEvidence shutdownEvidence = ""
	// evidenceNotice is that the executor has said that it shuts down, which it does last of all, once the time is over
	// that it said to stay, and that nothing listens at its address since.
	evidenceNotice shutdownEvidence = "shutdown notice"
	// evidenceSuccessor is an answer of another executor, since one follows the other at an address.
	evidenceSuccessor shutdownEvidence = "successor"
)

// shutdownEvidence returns what shows that a draining executor has ended, after a hold requested at requestedAt failed
// with err. One that doesn't drain has crashed or is cut off, which the scheduler tells apart.
func (i *incarnation) shutdownEvidence(requestedAt time.Duration, err error) shutdownEvidence {
	noticed := i.shutdownAt != 0 && requestedAt > i.shutdownAt && i.stayIsOver(requestedAt)
	switch {
	case !i.executor.GetDraining():
		return noEvidence
	case errors.Is(err, cell.ErrOtherIncarnation):
		return evidenceSuccessor
	case noticed && errors.Is(err, cell.ErrNotListening):
		return evidenceNotice
	}
	return noEvidence
}

// stayTolerance covers the drift of the executor's clock since its last answer and the delays of messages.
const stayTolerance = 100 * time.Millisecond

// stayIsOver reports whether the time is over that a draining executor said to stay. A notice that it shuts down before
// is that of an earlier incarnation.
func (i *incarnation) stayIsOver(now time.Duration) bool {
	return i.leavesAt == 0 || i.earliestClock(now)+stayTolerance >= i.leavesAt
}

// confirmShutdown records that the executor is gone if a hold that was requested at requestedAt and failed with err
// shows it, and reports whether it does. The caller holds the mutex.
func (c *Controller) confirmShutdown(current *incarnation, requestedAt time.Duration, err error) bool {
	evidence := current.shutdownEvidence(requestedAt, err)
	if evidence == noEvidence || c.incarnation != current {
		return false
	}
	current.executor.Gone = true
	c.config.Logger.Info("executor has ended", "executor", current.executor.GetId(), "born", current.executor.GetBorn(),
		"evidence", string(evidence), "answered", (requestedAt - current.readAt).Milliseconds(),
		"running", len(current.runningTasks()), "error", err)
	return true
}

// refuteShutdown drops the notice that the executor shuts down if a hold that was requested after it was answered.
func (i *incarnation) refuteShutdown(requestedAt time.Duration) {
	if requestedAt > i.shutdownAt {
		i.shutdownAt = 0
	}
}
