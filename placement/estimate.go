package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// declaredSpread is the standard deviation of the logarithm of a declared run time that is wrong by up to 10 times
	// in both directions, evenly on a logarithmic scale: ln(10)/sqrt(3).
	declaredSpread = 1.33
	// priorSpread is assumed of a kind's run times before any is known; priorRuns is its weight in runs.
	priorSpread = 1.5
	priorRuns   = 2
	// historyRuns is the number of runs over which a kind's run times are averaged.
	historyRuns = 50
	// cautious is the number of standard deviations above the mean in the cautious estimate; about 9 of 10 jobs end
	// before it.
	cautious = 1.3
	// maxKinds bounds the kinds remembered, because callers choose their names.
	maxKinds = 4096
	// defaultRun is assumed of jobs without a declared run time.
	defaultRun = time.Minute
)

// kindKey is a group of jobs with similar run times.
type kindKey struct {
	workspace string
	kind      string
}

// history is the mean and variance of the logarithm of run times in seconds.
type history struct {
	count    float64
	mean     float64
	variance float64
}

// add includes one run.
func (h *history) add(seconds float64) {
	value := math.Log(max(seconds, 1e-3))
	h.count = min(h.count+1, historyRuns)
	step := 1 / h.count
	delta := value - h.mean
	h.mean += delta * step
	h.variance = (1 - step) * (h.variance + delta*delta*step)
}

// estimates learns run times per workspace and kind.
type estimates struct {
	kinds *simplelru.LRU[kindKey, *history]
}

func newEstimates() *estimates {
	kinds, _ := simplelru.NewLRU[kindKey, *history](maxKinds, nil)
	return &estimates{
		kinds: kinds,
	}
}

// learn records a real run time.
func (m *estimates) learn(j Job, run time.Duration) {
	key := kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	}
	h, ok := m.kinds.Get(key)
	if !ok {
		h = &history{}
		m.kinds.Add(key, h)
	}
	h.add(run.Seconds())
}

// estimate weighs a kind's real run times against the declared one by their variances. It returns the expected and a
// cautious run time.
func (m *estimates) estimate(j Job) (expect, bound time.Duration) {
	declared := j.Declared
	if declared <= 0 {
		declared = defaultRun
	}
	mean, variance := math.Log(declared.Seconds()), declaredSpread*declaredSpread
	h, ok := m.kinds.Get(kindKey{
		workspace: j.Workspace,
		kind:      j.Kind,
	})
	if ok {
		learned := (h.variance*h.count + priorSpread*priorSpread*priorRuns) / (h.count + priorRuns)
		weight := variance / (variance + learned)
		mean += weight * (h.mean - mean)
		variance *= 1 - weight
	}
	return seconds(mean), seconds(mean + cautious*math.Sqrt(variance))
}

// seconds converts the logarithm of seconds, bounded to a year.
func seconds(logarithm float64) time.Duration {
	const year = 365 * 24 * 3600
	return time.Duration(min(math.Exp(logarithm), year) * float64(time.Second))
}
