package placement

import (
	"container/heap"
	"slices"
	"time"
)

// classKey holds the attributes that decide whether a job can be placed, apart from the workers on which it failed
// before.
type classKey struct {
	members        int
	accelerators   int
	cores          int
	memory         int64
	scope          Scope
	kind           string
	urgent         bool
	idempotent     bool
	checkpointable bool
	// singleJob is the ID of a job that avoids workers on which it failed. Such a job forms a class of its own.
	singleJob string
}

func (job *trackedJob) classKey() classKey {
	key := classKey{
		members:        job.spec.Members,
		accelerators:   job.spec.Accelerators,
		cores:          job.spec.Cores,
		memory:         job.spec.Memory,
		scope:          job.spec.Scope,
		kind:           job.spec.Kind,
		urgent:         job.spec.Urgent,
		idempotent:     job.spec.Idempotent,
		checkpointable: job.spec.Checkpointable,
	}
	if len(job.failedWorkers) > 0 {
		key.singleJob = job.spec.ID
	}
	return key
}

// jobClass holds the queued jobs of one workspace that have the same placement attributes, ordered by queueTime. If
// its first job does not fit, no other job of the class is tried until the version changes.
type jobClass struct {
	attributes classKey
	workspace  *workspace
	jobs       jobHeap
	// unplaceableVersion is the Scheduler.version at which the first job did not fit.
	unplaceableVersion uint64
	reasons            []string
	// explainedVersion is the version for which reasons were computed.
	explainedVersion uint64
}

// head returns the first job of the class.
func (class *jobClass) head() *trackedJob {
	return class.jobs[0]
}

// workspace is the state of one workspace.
type workspace struct {
	Workspace
	classes map[classKey]*jobClass
	// order lists the classes with queued jobs in the order of their creation, so that iteration is deterministic.
	order []*jobClass
	slots []*guaranteedSlot
	// usedAccelerators counts the accelerators of running, evicting and claiming jobs.
	usedAccelerators int
	// unplaceable lists the requests that did not fit at the version unplaceableAt.
	unplaceable   map[classKey][]unplaceableRequest
	unplaceableAt uint64
	// ready holds the classes that may fit while placeQueued runs.
	ready classHeap
	// inPolicy is false for a workspace that has jobs but is not in the policy.
	inPolicy bool
}

func newWorkspace(w Workspace) *workspace {
	return &workspace{
		Workspace:   w,
		classes:     map[classKey]*jobClass{},
		unplaceable: map[classKey][]unplaceableRequest{},
	}
}

// unplaceableRequest is a request that did not fit, without the attributes in comparisonKey. remainingRunTime matters
// for backfill.
type unplaceableRequest struct {
	cores            int
	memory           int64
	remainingRunTime time.Duration
}

// comparisonKey returns the attributes that have to be equal for two requests to be comparable.
func (class *jobClass) comparisonKey() classKey {
	key := class.attributes
	key.kind, key.singleJob = "", ""
	key.cores, key.memory = 0, 0
	return key
}

// knownUnplaceable reports whether a request that is no harder to place did not fit at this version: the same shape,
// no more cores and memory, and no longer run time.
func (ws *workspace) knownUnplaceable(job *trackedJob, version uint64) bool {
	if ws.unplaceableAt != version {
		return false
	}
	return slices.ContainsFunc(ws.unplaceable[job.jobClass.comparisonKey()], func(r unplaceableRequest) bool {
		return r.cores <= job.spec.Cores && r.memory <= job.spec.Memory && r.remainingRunTime <= job.remainingRunTime()
	})
}

// markUnplaceable records that a job did not fit at this version.
func (ws *workspace) markUnplaceable(job *trackedJob, version uint64) {
	job.jobClass.unplaceableVersion = version
	if ws.unplaceableAt != version {
		ws.unplaceableAt = version
		clear(ws.unplaceable)
	}
	if job.jobClass.attributes.singleJob != "" {
		return
	}
	key := job.jobClass.comparisonKey()
	ws.unplaceable[key] = append(ws.unplaceable[key], unplaceableRequest{
		cores:            job.spec.Cores,
		memory:           job.spec.Memory,
		remainingRunTime: job.remainingRunTime(),
	})
}

// push queues a job.
func (ws *workspace) push(job *trackedJob) {
	key := job.classKey()
	class, ok := ws.classes[key]
	if !ok {
		class = &jobClass{
			attributes: key,
			workspace:  ws,
		}
		ws.classes[key] = class
		ws.order = append(ws.order, class)
	}
	job.state = queued
	job.jobClass = class
	heap.Push(&class.jobs, job)
}

// remove removes a job from the queue in time logarithmic in the size of its class.
func (ws *workspace) remove(job *trackedJob) {
	class := job.jobClass
	heap.Remove(&class.jobs, job.heapIndex)
	job.jobClass = nil
	if len(class.jobs) > 0 {
		return
	}
	delete(ws.classes, class.attributes)
	if index := slices.Index(ws.order, class); index >= 0 {
		ws.order = slices.Delete(ws.order, index, index+1)
	}
}

// prepareReady collects the classes that may fit at this version for nextClass.
func (ws *workspace) prepareReady(version uint64) {
	ws.ready = ws.ready[:0]
	for _, class := range ws.order {
		if class.unplaceableVersion != version {
			ws.ready = append(ws.ready, class)
		}
	}
	heap.Init(&ws.ready)
}

// advanceReady removes the first ready class if it is empty or its first job did not fit, and otherwise restores the
// heap order.
func (ws *workspace) advanceReady(version uint64) {
	class := ws.ready[0]
	if class.unplaceableVersion == version || len(class.jobs) == 0 {
		heap.Pop(&ws.ready)
		return
	}
	heap.Fix(&ws.ready, 0)
}

// rank returns the use of the workspace with one more job, as a multiple of its fair share, minus a bonus for waiting
// time. The bonus is at most maxWaitBonus, so that a workspace with a very long queue does not outrank the others by
// waiting time alone.
func (ws *workspace) rank(job *trackedJob, fairShare float64, wait, bonusPeriod time.Duration) float64 {
	bonus := min(float64(wait)/float64(bonusPeriod), 1) * maxWaitBonus
	return float64(ws.usedAccelerators+job.spec.size())/fairShare - bonus
}

// maxWaitBonus is in fair shares. With 2, the oldest jobs of a workspace that uses twice its share still start after
// Config.WaitBonusPeriod.
const maxWaitBonus = 2

// queuedBefore orders jobs by queueTime and then by ID.
func queuedBefore(a, b *trackedJob) bool {
	if order := a.queueTime.Compare(b.queueTime); order != 0 {
		return order < 0
	}
	return a.spec.ID < b.spec.ID
}

// classHeap orders classes by their first jobs. A class that has just become empty is ordered first, so that
// advanceReady removes it.
type classHeap []*jobClass

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(i, k int) bool {
	if len(h[i].jobs) == 0 || len(h[k].jobs) == 0 {
		return len(h[i].jobs) < len(h[k].jobs)
	}
	return queuedBefore(h[i].head(), h[k].head())
}
func (h classHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *classHeap) Push(x any) { *h = append(*h, x.(*jobClass)) }

// Pop implements heap.Interface.
func (h *classHeap) Pop() any {
	last := len(*h) - 1
	class := (*h)[last]
	*h = (*h)[:last]
	return class
}

// jobHeap implements heap.Interface.
type jobHeap []*trackedJob

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, k int) bool { return queuedBefore(h[i], h[k]) }

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex = i
	h[k].heapIndex = k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	job := x.(*trackedJob)
	job.heapIndex = len(*h)
	*h = append(*h, job)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return job
}
