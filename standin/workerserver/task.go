package workerserver

import (
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/logservice"
)

// throttleFactor is how many times longer throttled work takes.
const throttleFactor = 4

// task is a task that runs or is remembered.
type task struct {
	status  logservice.TaskStatus
	payload Payload
	// run numbers the runs of the job on this worker.
	run int
	// done is the work done until since.
	done  time.Duration
	since time.Time
	// slowdown is how many times longer the work takes.
	slowdown int64
	timer    clockwork.Timer
}

func newTask(description logservice.Task, payload Payload, done time.Duration, now time.Time) *task {
	return &task{
		status: logservice.TaskStatus{
			Task:  description,
			State: logservice.StateRunning,
		},
		payload:  payload,
		done:     done,
		since:    now,
		slowdown: 1,
	}
}

// end moves a running task to its final state.
func (t *task) end(state, reason string) {
	t.timer.Stop()
	t.status.State = state
	t.status.Reason = reason
}

func (t *task) event(kind string) Event {
	return Event{
		Event:        kind,
		Kind:         KindTask,
		ID:           t.status.ID,
		Job:          t.status.Job,
		Generation:   t.status.Generation,
		Count:        t.status.Count,
		Member:       t.status.Member,
		Accelerators: t.status.Accelerators,
		State:        t.status.State,
		Reason:       t.status.Reason,
		Resumed:      t.status.Resume,
	}
}

// progress is the work done so far.
func (t *task) progress(now time.Time) time.Duration {
	return min(t.done+now.Sub(t.since)/time.Duration(t.slowdown), t.payload.work())
}

// remaining is the time until the work is done.
func (t *task) remaining(now time.Time) time.Duration {
	return (t.payload.work() - t.progress(now)) * time.Duration(t.slowdown)
}

func (t *task) running() bool {
	return t.status.State == logservice.StateRunning
}

// throttle slows the rest of the work down.
func (t *task) throttle(now time.Time) {
	t.done = t.progress(now)
	t.since = now
	t.slowdown = throttleFactor
}
