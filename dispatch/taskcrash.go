package dispatch

import (
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// unknownAge is the age of a run whose start this scheduler has not seen.
const unknownAge = -time.Millisecond

// taskCrash is the crash of an executor under a run of a task.
type taskCrash struct {
	agent string
	// age is how long the run was known to exist, or unknownAge.
	age time.Duration
	// blamed is set if the task may have caused the crash.
	blamed bool
}

// newTaskCrash restores a stored crash.
func newTaskCrash(record *cellpb.Crash) taskCrash {
	ageMs := min(max(record.GetAgeMs(), unknownAge.Milliseconds()), crashMemory.Milliseconds())
	return taskCrash{
		agent:  record.GetAgent(),
		age:    time.Duration(ageMs) * time.Millisecond,
		blamed: record.GetBlamed(),
	}
}

// isBlamed reports whether the task may have caused the crash.
func (c taskCrash) isBlamed() bool {
	return c.blamed
}

// isBlamedEarly reports whether the task may have caused the crash soon after its start. Runs that have gone on for
// longer may meet the crashes of several machines.
func (c taskCrash) isBlamedEarly() bool {
	return c.blamed && c.age <= maxIsolation
}

func (c taskCrash) record() *cellpb.Crash {
	return &cellpb.Crash{
		Agent:  c.agent,
		AgeMs:  c.age.Milliseconds(),
		Blamed: c.blamed,
	}
}

// onSeveralAgents reports whether the crashes that the task may have caused came at different agents.
func onSeveralAgents(crashes []taskCrash) bool {
	agents := map[string]bool{}
	for _, crashed := range crashes {
		if crashed.blamed {
			agents[crashed.agent] = true
		}
	}
	return len(agents) > 1
}

// countCrashes returns the number of crashes that are to be counted.
func countCrashes(crashes []taskCrash, counted func(crashed taskCrash) bool) int {
	count := 0
	for _, crashed := range crashes {
		if counted(crashed) {
			count++
		}
	}
	return count
}
