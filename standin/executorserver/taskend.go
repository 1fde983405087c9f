package executorserver

import (
	"fmt"
	"time"
)

// notAcknowledged is the acknowledgement of an end that no hold has acknowledged.
const notAcknowledged = "end not acknowledged"

// taskEnd is the end of the run in which a task was done.
type taskEnd struct {
	executor string
	run      int32
	at       time.Time
	// acknowledgement says whether and how a hold acknowledged the end.
	acknowledgement string
	// uncertain is set if the executor restarted before the end was acknowledged, so that the scheduler may or may not
	// have stored it.
	uncertain bool
	// unfenced is set if the start of the run was unfenced.
	unfenced bool
}

// String returns the run, its place, the time of its end and its acknowledgement.
func (e *taskEnd) String() string {
	return fmt.Sprintf("%s run %d %s, %s", e.executor, e.run, e.at.Format(time.StampMilli), e.acknowledgement)
}

// isAcknowledged reports whether a hold has acknowledged the end; false for nil.
func (e *taskEnd) isAcknowledged() bool {
	return e != nil && e.acknowledgement != notAcknowledged
}
