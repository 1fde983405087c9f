package routing

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxEstimatedKinds bounds the memory of the estimates; at the target size 640 workspaces have about 6 kinds each.
	maxEstimatedKinds = 4096
	// smoothingFactor is the weight of the newest run time in the moving averages. After the run time of a kind has
	// changed, 10 runs cover about two thirds of the change.
	smoothingFactor = 0.1
	// declaredErrorFactor is the factor by which declared run times may be wrong, in either direction.
	declaredErrorFactor = 10
)

// kindKey identifies a group of requests that are expected to have similar run times.
type kindKey struct {
	workspace string
	kind      string
}

// runTimeEstimate holds the moving averages of the run time and of its absolute deviation, in seconds.
type runTimeEstimate struct {
	mean      float64
	deviation float64
}

// runTimeEstimator estimates run times per kind from the observed ones.
type runTimeEstimator struct {
	byKind *lru.Cache[kindKey, runTimeEstimate]
}

func newRunTimeEstimator() *runTimeEstimator {
	byKind, err := lru.New[kindKey, runTimeEstimate](maxEstimatedKinds)
	if err != nil {
		panic(fmt.Sprintf("create cache of run time estimates: %v", err))
	}
	return &runTimeEstimator{
		byKind: byKind,
	}
}

// predict returns the expected run time and an upper bound that requests of the kind rarely exceed. Before the first
// observation both are based on the declared run time.
func (e *runTimeEstimator) predict(request Request) (expected, upperBound time.Duration) {
	estimate, ok := e.byKind.Get(kindKey{request.Workspace, request.Kind})
	if !ok {
		return request.DeclaredRunTime, declaredErrorFactor * request.DeclaredRunTime
	}
	return secondsToDuration(estimate.mean), secondsToDuration(estimate.mean + 2*estimate.deviation)
}

func (e *runTimeEstimator) update(workspace, kind string, runTime time.Duration) {
	key := kindKey{workspace, kind}
	estimate, ok := e.byKind.Get(key)
	if !ok {
		estimate.mean = runTime.Seconds()
	}
	difference := runTime.Seconds() - estimate.mean
	estimate.mean += smoothingFactor * difference
	estimate.deviation += smoothingFactor * (max(difference, -difference) - estimate.deviation)
	e.byKind.Add(key, estimate)
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
