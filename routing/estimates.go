package routing

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// estimateKinds bounds the memory of estimates; at the target size 640 workspaces have about 6 kinds each.
	estimateKinds = 4096
	// estimateWeight is the weight of the newest run time: after a change of a kind, 10 runs move the estimate by two
	// thirds of the way.
	estimateWeight = 0.1
	// declaredError is by how much declared run times are wrong.
	declaredError = 10
)

// kindKey identifies requests of similar run time.
type kindKey struct {
	workspace string
	kind      string
}

// estimate holds the moving averages of run times and of their deviation, in seconds.
type estimate struct {
	mean      float64
	deviation float64
}

// estimates learns run times.
type estimates struct {
	kinds *lru.Cache[kindKey, estimate]
}

func newEstimates() *estimates {
	kinds, err := lru.New[kindKey, estimate](estimateKinds)
	if err != nil {
		panic(fmt.Sprintf("size of the estimates: %v", err))
	}
	return &estimates{
		kinds: kinds,
	}
}

// of returns the expected run time and one that a request of the kind seldom exceeds.
func (e *estimates) of(request Request) (expected, high time.Duration) {
	learned, ok := e.kinds.Get(kindKey{request.Workspace, request.Kind})
	if !ok {
		return request.Declared, declaredError * request.Declared
	}
	return seconds(learned.mean), seconds(learned.mean + 2*learned.deviation)
}

func (e *estimates) learn(workspace, kind string, runTime time.Duration) {
	key := kindKey{workspace, kind}
	learned, ok := e.kinds.Get(key)
	if !ok {
		learned.mean = runTime.Seconds()
	}
	difference := runTime.Seconds() - learned.mean
	learned.mean += estimateWeight * difference
	learned.deviation += estimateWeight * (max(difference, -difference) - learned.deviation)
	e.kinds.Add(key, learned)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
