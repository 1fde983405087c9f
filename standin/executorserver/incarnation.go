package executorserver

import "time"

// incarnation is the state of an executor that doesn't outlive a crash or a restart.
type incarnation struct {
	// id is the executor's id; the next incarnation may have another one.
	id        string
	startedAt time.Time
	// clockStart is the reading of the monotonic clock at the start.
	clockStart time.Duration
	// fence is the highest fence of any request; requests with a lower one are rejected.
	fence int64
	// contacted is set once a call that wasn't late was carried out.
	contacted bool
	// leaseEnd is the end of the lease of all running tasks, on the monotonic clock.
	leaseEnd time.Duration
	// draining is set while the executor announces that it will leave.
	draining bool
	// staysUntil is the end of the time for which a draining executor says that it stays at least.
	staysUntil time.Time
	// highestRuns is the highest run number of each task that was started or stopped on this executor.
	highestRuns map[string]int32
	running     map[runKey]*task
	endedRuns   []endedRun
	// number is that of the last ended run; ended runs are numbered from 1.
	number       int64
	heartbeatSeq int64
}

// newIncarnation returns an incarnation without runs.
func newIncarnation(id string, startedAt time.Time, clockStart time.Duration) *incarnation {
	return &incarnation{
		id:          id,
		startedAt:   startedAt,
		clockStart:  clockStart,
		highestRuns: map[string]int32{},
		running:     map[runKey]*task{},
	}
}

// acceleratorsInUse returns the sum of the accelerators of the running tasks.
func (i *incarnation) acceleratorsInUse() int64 {
	total := int64(0)
	for _, t := range i.running {
		total += t.accelerators
	}
	return total
}

// acknowledgeEnds drops the ended runs up to a number and returns them.
func (i *incarnation) acknowledgeEnds(lastSeen int64) []endedRun {
	count := 0
	for count < len(i.endedRuns) && i.endedRuns[count].number <= lastSeen {
		count++
	}
	acknowledged := i.endedRuns[:count]
	i.endedRuns = i.endedRuns[count:]
	return acknowledged
}

// bornMs returns the start in milliseconds since the Unix epoch, which identifies the incarnation.
func (i *incarnation) bornMs() int64 {
	return i.startedAt.UnixMilli()
}
