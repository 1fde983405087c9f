package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// declaredSpread is the standard deviation of the logarithm of a declared run time that is wrong by up to 10 times
	// in both directions, evenly on a logarithmic scale: ln(10)/sqrt(3).
	declaredLogStdDev = 1.33
	// priorSpread is assumed of a kind's run times before any is known; priorRuns is its weight in runs.
	priorLogStdDev  = 1.5
	priorWeightRuns = 2
	// historyRuns is the number of runs over which a kind's run times are averaged.
	averagedRuns = 50
	// cautious is the number of standard deviations above the mean in the cautious estimate; about 9 of 10 jobs end
	// before it.
	boundStdDevs = 1.3
	// maxKinds bounds the kinds remembered, because callers choose their names.
	maxTrackedKinds = 4096
	// defaultRun is assumed of jobs without a declared run time.
	defaultRunTime = time.Minute
)

// kindKey is a group of jobs with similar run times.
type kindKey struct {
	workspace string
	kind      string
}

// history is the mean and variance of the logarithm of run times in seconds.
type runTimeStats struct {
	count       float64
	logMean     float64
	logVariance float64
}

// add includes one run.
func (h *runTimeStats) add(seconds float64) {
	logSeconds := math.Log(max(seconds, 1e-3))
	h.count = min(h.count+1, averagedRuns)
	weight := 1 / h.count
	delta := logSeconds - h.logMean
	h.logMean += delta * weight
	h.logVariance = (1 - weight) * (h.logVariance + delta*delta*weight)
}

// estimates learns run times per workspace and kind.
type runTimeEstimator struct {
	kinds *simplelru.LRU[kindKey, *runTimeStats]
}

func newRunTimeEstimator() *runTimeEstimator {
	kinds, _ := simplelru.NewLRU[kindKey, *runTimeStats](maxTrackedKinds, nil)
	return &runTimeEstimator{
		kinds: kinds,
	}
}

// learn records a real run time.
func (m *runTimeEstimator) record(j Job, runTime time.Duration) {
	key := kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	}
	h, ok := m.kinds.Get(key)
	if !ok {
		h = &runTimeStats{}
		m.kinds.Add(key, h)
	}
	h.add(runTime.Seconds())
}

// estimate weighs a kind's real run times against the declared one by their variances. It returns the expected and a
// cautious run time.
func (m *runTimeEstimator) estimate(j Job) (expected, upperBound time.Duration) {
	declared := j.Declared
	if declared <= 0 {
		declared = defaultRunTime
	}
	logMean, logVariance := math.Log(declared.Seconds()), declaredLogStdDev*declaredLogStdDev
	h, ok := m.kinds.Get(kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	})
	if ok {
		learnedVariance := (h.logVariance*h.count + priorLogStdDev*priorLogStdDev*priorWeightRuns) /
			(h.count + priorWeightRuns)
		weight := logVariance / (logVariance + learnedVariance)
		logMean += weight * (h.logMean - logMean)
		logVariance *= 1 - weight
	}
	return durationFromLog(logMean), durationFromLog(logMean + boundStdDevs*math.Sqrt(logVariance))
}

// seconds converts the logarithm of seconds, bounded to a year.
func durationFromLog(logSeconds float64) time.Duration {
	const year = 365 * 24 * 3600
	return time.Duration(min(math.Exp(logSeconds), year) * float64(time.Second))
}
