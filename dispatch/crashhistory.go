package dispatch

import (
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// maxCrashes is the number of executors that may crash under a task. The users forbid the third start after three
	// crashes.
	maxCrashes = 5
	// minCrashes is the number of crashes alike from which a task is given up if only its job ran on the last executor.
	// The users allow it from two on, but two may well be chance: runs that have just started are many after a wave of
	// crashes, and a job that could be done must not be shown as failed.
	minCrashes = 3
	// maxAgeSpread is the share by which the ages of runs at crashes that a task causes differ, beside the precision
	// with which they are known. A deadly task crashes its executors at about the same point of its work.
	maxAgeSpread = 0.1
	// survivalFactor, times Config.RemoteSlowdown and the longest run before a crash, is how long a run must last to
	// clear its task: on a slow executor or away from its data, a deadly task lasts longer. minSurvival is the minimum.
	survivalFactor = 2
	minSurvival    = 2 * time.Second
	// maxIsolation is how long a run keeps others away from its executor, however late the crashes came.
	maxIsolation = 10 * time.Second
	// crashMemory is the duration of a run after which all earlier crashes are forgotten. Without it, a task that runs
	// for weeks would be given up for a few crashes of its machines.
	crashMemory = 10 * time.Minute
)

// crashHistory holds the crashes of executors under the runs of a task. It is part of the task's stored progress.
type crashHistory struct {
	// crashes holds the last crashes, oldest first.
	crashes []taskCrash
	// suspect is set while the task's runs keep other jobs away from their executors.
	suspect bool
}

// newCrashHistory restores the history from a stored task.
func newCrashHistory(record *cellpb.Task) crashHistory {
	h := crashHistory{
		suspect: record.GetSuspect(),
	}
	for _, crashed := range record.GetCrashes() {
		h.crashes = append(h.crashes, newTaskCrash(crashed))
	}
	return h
}

// agents returns the agents of the crashed executors, oldest first.
func (h crashHistory) agents() []string {
	agents := make([]string, 0, len(h.crashes))
	for _, crashed := range h.crashes {
		agents = append(agents, crashed.agent)
	}
	return agents
}

// alike returns the last crashes that came at about the same age of the task's run.
func (h crashHistory) alike(precision time.Duration) []taskCrash {
	for i := len(h.crashes) - 1; i >= 0; i-- {
		last, earlier := h.crashes[len(h.crashes)-1].age, h.crashes[i].age
		if last == unknownAge || earlier == unknownAge {
			continue
		}
		if (last - earlier).Abs() > precision+time.Duration(maxAgeSpread*float64(max(last, earlier))) {
			return h.crashes[i+1:]
		}
	}
	return h.crashes
}

// blamed returns the number of crashes that the task may have caused.
func (h crashHistory) blamed() int {
	return countCrashes(h.crashes, taskCrash.isBlamed)
}

// crashedOn reports whether an executor of an agent crashed under the task.
func (h crashHistory) crashedOn(agent string) bool {
	return slices.ContainsFunc(h.crashes, func(crashed taskCrash) bool {
		return crashed.blamed && crashed.agent == agent
	})
}

// empty reports whether no executor crashed under the task.
func (h crashHistory) empty() bool {
	return len(h.crashes) == 0
}

// guilty reports whether the task is to be given up after the last crash. alone tells whether only the task's job had
// runs on that executor. Ages of runs are known with a precision. Fewer than maxCrashes on one machine may be the fault
// of that machine.
func (h crashHistory) guilty(alone bool, precision time.Duration) bool {
	alike := h.alike(precision)
	if len(alike) >= maxCrashes || countCrashes(h.crashes, taskCrash.isBlamedEarly) >= maxCrashes {
		return true
	}
	return alone && countCrashes(alike, taskCrash.isBlamed) >= minCrashes && onSeveralAgents(alike)
}

// longest returns the greatest age of a run at a crash. A run of unknown age may have lasted for maxIsolation.
func (h crashHistory) longest() time.Duration {
	longest := time.Duration(0)
	for _, crashed := range h.crashes {
		age := crashed.age
		if age == unknownAge {
			age = maxIsolation
		}
		longest = max(longest, age)
	}
	return longest
}

// records returns the crashes as stored.
func (h crashHistory) records() []*cellpb.Crash {
	var records []*cellpb.Crash
	for _, crashed := range h.crashes {
		records = append(records, crashed.record())
	}
	return records
}

// withCrash returns the history with another crash.
func (h crashHistory) withCrash(crashed taskCrash) crashHistory {
	h.crashes = append(slices.Clone(h.crashes), crashed)
	if extra := len(h.crashes) - 2*maxCrashes; extra > 0 {
		h.crashes = h.crashes[extra:]
	}
	return h
}

// withRunTime returns the history with what follows from a run that has lasted for a duration. Runs of a task may
// differ in speed by slowdown.
func (h crashHistory) withRunTime(lasted time.Duration, slowdown float64) crashHistory {
	survival := time.Duration(survivalFactor * slowdown * float64(h.longest()))
	if lasted >= min(max(survival, minSurvival), crashMemory) {
		return crashHistory{}
	}
	if lasted >= maxIsolation {
		h.suspect = false
	}
	return h
}

// withSuspicion returns the history of a task that may well be the cause of the last crash.
func (h crashHistory) withSuspicion() crashHistory {
	h.suspect = true
	return h
}
