package executorserver

import (
	"strconv"
	"time"
)

const (
	// saveInterval is the interval of the checkpoints of a task.
	saveInterval = 200 * time.Millisecond
	maxPercent   = 100
)

// task is a run of a task on an executor.
type task struct {
	spec
	// workDone is the run time so far, including that of earlier runs up to the checkpoint.
	workDone time.Duration
	// updatedAt and startedAt are times on the executor's monotonic clock.
	updatedAt time.Duration
	startedAt time.Duration
	// stopAt is when a run that is being stopped ends; 0 means that it isn't being stopped.
	stopAt time.Duration
	gang   *gang
}

// advance adds the time since the last update, unless the task's gang is incomplete.
func (t *task) advance(now time.Duration) {
	if t.gang == nil || t.gang.isRunning() {
		t.workDone += now - t.updatedAt
	}
	t.updatedAt = now
}

// checkpoint returns the checkpoint from which a later run can resume; empty means none.
func (t *task) checkpoint() string {
	if !t.checkpoints || t.workDone < saveInterval {
		return ""
	}
	return strconv.FormatInt(t.workDone.Truncate(saveInterval).Milliseconds(), 10)
}

func (t *task) percent() int64 {
	if t.duration <= 0 {
		return maxPercent
	}
	return int64(min(maxPercent, maxPercent*t.workDone/t.duration))
}

// resume sets the work done to that of a checkpoint.
func (t *task) resume(checkpoint string) {
	workMs, err := strconv.ParseInt(checkpoint, 10, 64)
	if err == nil {
		t.workDone = time.Duration(workMs) * time.Millisecond
	}
}
