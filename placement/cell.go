package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// cell is the set of workers, ordered by zone, rack and ID so that racks and zones are contiguous.
type cell struct {
	byID       map[string]*node
	nodes      []*node
	racks      []*topologyDomain
	zones      []*topologyDomain
	entireCell []*topologyDomain
	needsSort  bool
	// removedWorkers holds removed workers by ID. They still count when checking whether a job can ever run.
	removedWorkers map[string]removedWorker
	// knownCache caches the result of knownWorkers at knownCachedAt; it is nil after a worker has changed.
	knownCache    []Worker
	knownCachedAt time.Time
}

type removedWorker struct {
	worker    Worker
	removedAt time.Time
}

func newCell() *cell {
	return &cell{
		byID:           map[string]*node{},
		removedWorkers: map[string]removedWorker{},
	}
}

// domains returns the topology domains that a shape of the scope must lie within, or nil for ScopeWorker.
func (c *cell) domains(scope Scope) []*topologyDomain {
	switch scope {
	case ScopeRack:
		return c.racks
	case ScopeZone:
		return c.zones
	case ScopeAny:
		return c.entireCell
	case ScopeWorker:
	}
	return nil
}

// knownWorkers returns the workers that count when checking whether a job can ever run, sorted by ID. Removed workers
// count until the retention has passed.
func (c *cell) knownWorkers(now time.Time, retention time.Duration) []Worker {
	if c.knownCache != nil && now.Sub(c.knownCachedAt) < time.Minute {
		return c.knownCache
	}
	workers := make([]Worker, 0, len(c.byID)+len(c.removedWorkers))
	for _, n := range c.byID {
		workers = append(workers, n.Worker)
	}
	for id, r := range c.removedWorkers {
		if now.Sub(r.removedAt) > retention {
			delete(c.removedWorkers, id)
			continue
		}
		workers = append(workers, r.worker)
	}
	slices.SortFunc(workers, func(a, b Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	c.knownCache, c.knownCachedAt = workers, now
	return workers
}

// remove removes a worker from the cell and remembers it in removedWorkers.
func (c *cell) remove(now time.Time, n *node) {
	delete(c.byID, n.ID)
	n.removed = true
	c.removedWorkers[n.ID] = removedWorker{
		worker:    n.Worker,
		removedAt: now,
	}
	c.needsSort = true
	c.knownCache = nil
}

// sortNodes rebuilds the node order and the topology domains after workers were added or removed.
func (c *cell) sortNodes() {
	if !c.needsSort {
		return
	}
	c.needsSort = false
	c.nodes = c.nodes[:0]
	for _, n := range c.byID {
		c.nodes = append(c.nodes, n)
	}
	sort.Slice(c.nodes, func(i, k int) bool {
		a, b := c.nodes[i], c.nodes[k]
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) < 0
	})
	c.racks, c.zones = nil, nil
	c.entireCell = []*topologyDomain{
		{
			end: len(c.nodes),
		},
	}
	var rack, zone *topologyDomain
	for i, n := range c.nodes {
		n.index = i
		if zone == nil || zone.name != n.Zone {
			zone = &topologyDomain{
				name:  n.Zone,
				start: i,
			}
			rack = nil
			c.zones = append(c.zones, zone)
		}
		if rack == nil || rack.name != n.Rack {
			rack = &topologyDomain{
				name:  n.Rack,
				start: i,
			}
			c.racks = append(c.racks, rack)
		}
		n.rack, n.zone = rack, zone
		rack.end, zone.end = i+1, i+1
		if !n.idle() {
			rack.busyNodes++
			zone.busyNodes++
		}
	}
}

// addJob records that a job has an allocation on the node.
func (n *node) addJob(job *trackedJob) {
	if slices.Contains(n.trackedJobs, job) {
		return
	}
	n.trackedJobs = append(n.trackedJobs, job)
	if len(n.trackedJobs) == 1 && n.rack != nil {
		n.rack.busyNodes++
		n.zone.busyNodes++
	}
}

// removeJob undoes addJob.
func (n *node) removeJob(job *trackedJob) {
	index := slices.Index(n.trackedJobs, job)
	if index < 0 {
		return
	}
	n.trackedJobs = slices.Delete(n.trackedJobs, index, index+1)
	if len(n.trackedJobs) == 0 && n.rack != nil {
		n.rack.busyNodes--
		n.zone.busyNodes--
	}
}
