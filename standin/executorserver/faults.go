package executorserver

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	// minCallDelay and maxCallDelay are the default bounds of the delay of a late call.
	minCallDelay = 2 * time.Second
	maxCallDelay = 12 * time.Second
	// defaultCrashDowntime is about how long the platform takes to start a crashed executor again.
	defaultCrashDowntime = 3 * time.Second
)

// Faults configures the faults of an Executor. The zero value means none.
type Faults struct {
	// LateStarts, LateStops and LateHolds are the shares of calls that get no response and are carried out later, by
	// the incarnation that is up then.
	LateStarts float64
	LateStops  float64
	LateHolds  float64
	// MinDelay and MaxDelay bound the delay of a late call; 0 means the default.
	MinDelay time.Duration
	MaxDelay time.Duration
	// StopGrace is how long a run that is stopped goes on at most.
	StopGrace time.Duration
	// CrashDowntime is how long the executor is down after a task has crashed it; 0 means the default.
	CrashDowntime time.Duration
}

// callDelay draws the delay of a late call.
func (f Faults) callDelay(random *rand.Rand) time.Duration {
	lower, upper := f.MinDelay, f.MaxDelay
	if upper == 0 {
		lower, upper = minCallDelay, maxCallDelay
	}
	return lower + time.Duration(random.Int64N(int64(upper-lower)+1))
}

// isLate draws whether a call to a path is carried out late.
func (f Faults) isLate(random *rand.Rand, path string) bool {
	shares := map[string]float64{
		holdPath:  f.LateHolds,
		startPath: f.LateStarts,
		stopPath:  f.LateStops,
	}
	return shares[path] > 0 && random.Float64() < shares[path]
}

// crashDowntime returns how long the executor is down after a task has crashed it.
func (f Faults) crashDowntime() time.Duration {
	return cmp.Or(f.CrashDowntime, defaultCrashDowntime)
}

// stopDuration draws how long a run that is stopped goes on.
func (f Faults) stopDuration(random *rand.Rand) time.Duration {
	if random == nil || f.StopGrace == 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(f.StopGrace) + 1))
}
