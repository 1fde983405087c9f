package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// declaredLogStdDev is the standard deviation of the logarithm of a declared run time. Declared run times are wrong
	// by up to a factor of 10 in both directions, evenly distributed on a logarithmic scale: ln(10)/sqrt(3).
	declaredLogStdDev = 1.33
	// priorLogStdDev is the standard deviation assumed for a kind before any run time is known; priorWeightRuns is its
	// weight, as a number of runs.
	priorLogStdDev  = 1.5
	priorWeightRuns = 2
	// averagedRuns is the number of runs over which the run times of a kind are averaged.
	averagedRuns = 50
	// boundStdDevs is the number of standard deviations by which the conservative estimate exceeds the mean. About 9 of
	// 10 jobs end before this estimate.
	boundStdDevs = 1.3
	// maxTrackedKinds bounds the number of kinds in memory, because callers choose their names freely.
	maxTrackedKinds = 4096
	// defaultRunTime is assumed for jobs without a declared run time.
	defaultRunTime = time.Minute
)

// kindKey identifies a group of jobs with similar run times.
type kindKey struct {
	workspace string
	kind      string
}

// runTimeStats holds the moving mean and variance of the logarithm of run times in seconds.
type runTimeStats struct {
	count       float64
	logMean     float64
	logVariance float64
}

// add adds the run time of one run.
func (stats *runTimeStats) add(seconds float64) {
	logSeconds := math.Log(max(seconds, 1e-3))
	stats.count = min(stats.count+1, averagedRuns)
	weight := 1 / stats.count
	delta := logSeconds - stats.logMean
	stats.logMean += delta * weight
	stats.logVariance = (1 - weight) * (stats.logVariance + delta*delta*weight)
}

// runTimeEstimator estimates run times from past runs per workspace and kind.
type runTimeEstimator struct {
	kinds *simplelru.LRU[kindKey, *runTimeStats]
}

func newRunTimeEstimator() *runTimeEstimator {
	kinds, _ := simplelru.NewLRU[kindKey, *runTimeStats](maxTrackedKinds, nil)
	return &runTimeEstimator{
		kinds: kinds,
	}
}

// record records the measured run time of a job.
func (e *runTimeEstimator) record(j Job, runTime time.Duration) {
	key := kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	}
	stats, ok := e.kinds.Get(key)
	if !ok {
		stats = &runTimeStats{}
		e.kinds.Add(key, stats)
	}
	stats.add(runTime.Seconds())
}

// estimate returns the expected and a conservative run time. It combines the measured run times of the kind with the
// declared one, weighted by their variances.
func (e *runTimeEstimator) estimate(j Job) (expected, upperBound time.Duration) {
	declared := j.Declared
	if declared <= 0 {
		declared = defaultRunTime
	}
	logMean, logVariance := math.Log(declared.Seconds()), declaredLogStdDev*declaredLogStdDev
	stats, ok := e.kinds.Get(kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	})
	if ok {
		learnedVariance := (stats.logVariance*stats.count + priorLogStdDev*priorLogStdDev*priorWeightRuns) /
			(stats.count + priorWeightRuns)
		weight := logVariance / (logVariance + learnedVariance)
		logMean += weight * (stats.logMean - logMean)
		logVariance *= 1 - weight
	}
	return durationFromLog(logMean), durationFromLog(logMean + boundStdDevs*math.Sqrt(logVariance))
}

// durationFromLog converts the logarithm of a number of seconds to a duration of at most a year.
func durationFromLog(logSeconds float64) time.Duration {
	const year = 365 * 24 * 3600
	return time.Duration(min(math.Exp(logSeconds), year) * float64(time.Second))
}
