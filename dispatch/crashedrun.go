package dispatch

import (
	"fmt"
	"time"
)

// crashedRun is a run that may have existed on an executor when the executor crashed.
type crashedRun struct {
	task      *task
	runNumber int32
	// age is how long after its order the run was known to exist; 0 if it was never listed, unknownAge if an earlier
	// scheduler ordered it.
	age time.Duration
}

// newCrashedRun returns a run of an executor that last answered at answeredAt.
func newCrashedRun(run *taskRun, answeredAt time.Duration) crashedRun {
	age := time.Duration(0)
	switch {
	case run.restored:
		age = unknownAge
	case run.running:
		age = max(answeredAt-run.startedAt, 0)
	}
	return crashedRun{
		task:      run.task,
		runNumber: run.runNumber,
		age:       age,
	}
}

// String formats the run for the log.
func (r crashedRun) String() string {
	return fmt.Sprintf("%s run %d age %d ms crashes %d of %d", r.task.id, r.runNumber, r.age.Milliseconds(),
		r.task.crashes.blamed(), len(r.task.crashes.crashes))
}
