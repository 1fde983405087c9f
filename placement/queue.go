package placement

import (
	"container/heap"
	"slices"
	"time"
)

// shapeKey is what decides whether a job can be placed, apart from the workers on which it failed before.
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
	// alone is the id of a job that avoids workers and is therefore tried on its own.
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

// class holds the queued jobs of one workspace that are equal for placement, ordered by key. When its first job does
// not fit, none is tried until something was freed.
type jobClass struct {
	attributes classKey
	workspace  *workspace
	jobs       jobHeap
	// refused is the version of the cell at which the first job did not fit.
	unplaceableVersion uint64
	reasons            []string
	// explained is the version for which reasons were made.
	explainedVersion uint64
}

// head returns the first job.
func (class *jobClass) head() *trackedJob {
	return class.jobs[0]
}

// space is the state of one workspace.
type workspace struct {
	Workspace
	classes map[classKey]*jobClass
	// order lists the classes with jobs by the time they were made, for determinism.
	order []*jobClass
	slots []*guaranteedSlot
	// usage counts accelerators of running jobs and claims.
	usedAccelerators int
	// refusals are what did not fit at the version in refusedAt.
	unplaceable   map[classKey][]unplaceableRequest
	unplaceableAt uint64
	// ready holds the classes that may fit, while Decide serves the queue.
	ready classHeap
	// listed is false for a workspace that has jobs but is not in the policy.
	inPolicy bool
}

func newWorkspaceState(w Workspace) *workspace {
	return &workspace{
		Workspace:   w,
		classes:     map[classKey]*jobClass{},
		unplaceable: map[classKey][]unplaceableRequest{},
	}
}

// refusal is the rest of a shape that did not fit, with the run time for which it was tried as backfill.
type unplaceableRequest struct {
	cores            int
	memory           int64
	remainingRunTime time.Duration
}

// refusalKey is the part of a shape in which two jobs have to be equal to be compared.
func (class *jobClass) comparisonKey() classKey {
	key := class.attributes
	key.kind, key.singleJob = "", ""
	key.cores, key.memory = 0, 0
	return key
}

// hopeless reports whether a job that is no easier to place was refused at this version: same shape, no more cores and
// memory, no longer run time.
func (ws *workspace) knownUnplaceable(job *trackedJob, version uint64) bool {
	if ws.unplaceableAt != version {
		return false
	}
	return slices.ContainsFunc(ws.unplaceable[job.jobClass.comparisonKey()], func(r unplaceableRequest) bool {
		return r.cores <= job.spec.Cores && r.memory <= job.spec.Memory && r.remainingRunTime <= job.remainingRunTime()
	})
}

// refuse records that an entry did not fit.
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

// push queues an entry.
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

// remove takes an entry out of the queue. It costs the logarithm of the class, whatever the queue's length.
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

// prepare lists the classes that may fit at this version, for next.
func (ws *workspace) prepareReady(version uint64) {
	ws.ready = ws.ready[:0]
	for _, class := range ws.order {
		if class.unplaceableVersion != version {
			ws.ready = append(ws.ready, class)
		}
	}
	heap.Init(&ws.ready)
}

// advance takes the first ready class out if it was refused or is empty, and otherwise moves it to its new position.
func (ws *workspace) advanceReady(version uint64) {
	class := ws.ready[0]
	if class.unplaceableVersion == version || len(class.jobs) == 0 {
		heap.Pop(&ws.ready)
		return
	}
	heap.Fix(&ws.ready, 0)
}

// rank is the part of its share that the workspace would use with one more job, less a bonus for waiting. The bonus is
// at most bonusLimit, so that a workspace that floods the queue does not outrank the others by age alone.
func (ws *workspace) rank(job *trackedJob, fairShare float64, wait, bonusPeriod time.Duration) float64 {
	bonus := min(float64(wait)/float64(bonusPeriod), 1) * maxWaitBonus
	return float64(ws.usedAccelerators+job.spec.size())/fairShare - bonus
}

// bonusLimit is two shares: a workspace at twice its share still gets its oldest jobs in after Config.Age.
const maxWaitBonus = 2

// before orders entries by key and then by id.
func queuedBefore(a, b *trackedJob) bool {
	if order := a.queueTime.Compare(b.queueTime); order != 0 {
		return order < 0
	}
	return a.spec.ID < b.spec.ID
}

// classHeap orders classes by their first jobs. A class that has just been emptied counts as first, so that advance
// finds it.
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

// entryHeap implements heap.Interface.
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
