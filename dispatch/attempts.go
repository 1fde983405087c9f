package dispatch

import (
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// attempts is the record of the unsuccessful runs of what is started, fails and is retried as a whole: a gang, or a
// task that belongs to none.
type attempts struct {
	failures failureCount
	// retryAt delays the next run after a failed one or a rejected start.
	retryAt time.Duration
	// avoided holds the agents on which the last unsuccessful run failed, stalled or was slow. Several members of a gang
	// may have failed, on several agents.
	avoided map[string]bool
	// failedAgents holds the agents that this scheduler blamed for a failed run, one for each run.
	failedAgents map[string]bool
	// preemptions counts the runs that this scheduler stopped for more urgent work.
	preemptions int
}

// failureCount counts failed runs. It is part of the stored progress.
type failureCount struct {
	runs int32
	// newest is the number of the newest run that is counted.
	newest int32
}

// withRun returns the count with a failed run. Several members of a gang may report the failure of one run, also to
// different schedulers, and it counts once.
func (f failureCount) withRun(number int32) failureCount {
	if number <= f.newest {
		return f
	}
	return failureCount{
		runs:   f.runs + 1,
		newest: number,
	}
}

// attempts returns the record to which the task's runs belong.
func (t *task) attempts() *attempts {
	if t.group.step.GetGang() {
		return &t.group.gangAttempts
	}
	return &t.ownAttempts
}

// noteFailure counts a failed run and delays the next one. It reports whether the run wasn't counted before.
func (a *attempts) noteFailure(run *taskRun, now Instant) bool {
	counted := a.failures.withRun(run.runNumber)
	if counted == a.failures {
		a.avoid(run.agent)
		return false
	}
	a.failures = counted
	a.avoidOnly(run.agent)
	if a.failedAgents == nil {
		a.failedAgents = map[string]bool{}
	}
	a.failedAgents[run.agent] = true
	a.delayRetry(now.BootTime + retryDelay(counted.runs))
	return true
}

// avoid adds an agent to those on which the last run failed.
func (a *attempts) avoid(agent string) {
	if a.avoided == nil {
		a.avoided = map[string]bool{}
	}
	a.avoided[agent] = true
}

// avoidOnly notes that the last run failed, stalled or was slow on an agent, and forgets the runs before it.
func (a *attempts) avoidOnly(agent string) {
	a.avoided = nil
	a.avoid(agent)
}

// failedEverywhere reports whether runs failed on so many executors that these are hardly the cause.
func (a *attempts) failedEverywhere() bool {
	return len(a.failedAgents) >= faultyTaskExecutors
}

// delayRetry delays the next run at least until a time.
func (a *attempts) delayRetry(until time.Duration) {
	a.retryAt = max(a.retryAt, until)
}

// restore restores the count from a task's stored record. The records of a gang's members hold the same count.
func (a *attempts) restore(record *cellpb.Task) {
	a.failures = failureCount{
		runs:   max(a.failures.runs, record.GetFailures()),
		newest: max(a.failures.newest, record.GetFailedRun()),
	}
}
