package agent

import (
	"errors"
	"time"

	"radishpath.example/radishpath/cell"
)

// shutdownEvidence is what shows that an executor has ended with everything that ran there, as written to the log.
type shutdownEvidence string

const (
	noEvidence shutdownEvidence = ""
	// evidenceNotice is the executor's notice that it shuts down, and that nothing listens at its address since.
	evidenceNotice shutdownEvidence = "shutdown notice"
	// evidenceStayOver is the end of the time that the executor said to stay, and that nothing listens at its address
	// since.
	evidenceStayOver shutdownEvidence = "stay over"
)

// shutdownEvidence returns what shows that the executor has ended, after a hold requested at requestedAt failed with
// err.
func (i *incarnation) shutdownEvidence(requestedAt time.Duration, err error) shutdownEvidence {
	switch {
	case !errors.Is(err, cell.ErrNotListening) && !errors.Is(err, cell.ErrOtherIncarnation):
		return noEvidence
	case i.shutdownAt != 0 && requestedAt > i.shutdownAt:
		return evidenceNotice
	case i.leavesAt != 0 && requestedAt >= i.leavesAt:
		return evidenceStayOver
	}
	return noEvidence
}

// confirmShutdown records that the executor is gone if a hold that was requested at requestedAt and failed with err
// shows it, and reports whether it does. The caller holds the mutex.
func (c *Controller) confirmShutdown(current *incarnation, requestedAt time.Duration, err error) bool {
	evidence := current.shutdownEvidence(requestedAt, err)
	if evidence == noEvidence {
		return false
	}
	current.executor.Gone = true
	if evidence == current.shownEvidence {
		// A heartbeat has made it count as present since.
		return true
	}
	current.shownEvidence = evidence
	c.config.Logger.Info("executor has ended", "executor", current.executor.GetId(), "born", current.executor.GetBorn(),
		"evidence", string(evidence), "answered", requestedAt-current.readAt, "running", len(current.runningTasks()),
		"error", err)
	return true
}

// refuteShutdown drops the notice that the executor shuts down if a hold that was requested after it was answered.
func (i *incarnation) refuteShutdown(requestedAt time.Duration) {
	if requestedAt > i.shutdownAt {
		i.shutdownAt = 0
	}
}
