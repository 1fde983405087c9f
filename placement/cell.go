package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// cell is the set of workers, ordered by zone, rack and id so that racks and zones are contiguous.
type cell struct {
	byID  map[string]*node
	nodes []*node
	racks []*group
	zones []*group
	whole []*group
	dirty bool
	// past holds removed workers, which still count when a job is checked for being runnable at all.
	past map[string]removed
	// listed caches what known returned at listedAt; nil after a worker changed.
	listed   []Worker
	listedAt time.Time
}

type removed struct {
	worker Worker
	at     time.Time
}

func newCell() *cell {
	return &cell{
		byID: map[string]*node{},
		past: map[string]removed{},
	}
}

// groups returns the parts of the cell within which a shape of the scope has to lie; nil for single workers.
func (c *cell) groups(scope Scope) []*group {
	switch scope {
	case ScopeRack:
		return c.racks
	case ScopeZone:
		return c.zones
	case ScopeAny:
		return c.whole
	case ScopeWorker:
	}
	return nil
}

// known returns the workers that count for being runnable at all, in a fixed order.
func (c *cell) known(now time.Time, memory time.Duration) []Worker {
	if c.listed != nil && now.Sub(c.listedAt) < time.Minute {
		return c.listed
	}
	workers := make([]Worker, 0, len(c.byID)+len(c.past))
	for _, n := range c.byID {
		workers = append(workers, n.Worker)
	}
	for id, r := range c.past {
		if now.Sub(r.at) > memory {
			delete(c.past, id)
			continue
		}
		workers = append(workers, r.worker)
	}
	slices.SortFunc(workers, func(a, b Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	c.listed, c.listedAt = workers, now
	return workers
}

// remove takes a worker out of the cell.
func (c *cell) remove(now time.Time, n *node) {
	delete(c.byID, n.ID)
	n.gone = true
	c.past[n.ID] = removed{
		worker: n.Worker,
		at:     now,
	}
	c.dirty = true
	c.listed = nil
}

// sortNodes rebuilds the order and the groups after workers came or went.
func (c *cell) sortNodes() {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.nodes = c.nodes[:0]
	for _, n := range c.byID {
		c.nodes = append(c.nodes, n)
	}
	sort.Slice(c.nodes, func(i, k int) bool {
		a, b := c.nodes[i], c.nodes[k]
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) < 0
	})
	c.racks, c.zones = nil, nil
	c.whole = []*group{
		{
			last: len(c.nodes),
		},
	}
	var rack, zone *group
	for i, n := range c.nodes {
		n.index = i
		if zone == nil || zone.name != n.Zone {
			zone = &group{
				name:  n.Zone,
				first: i,
			}
			rack = nil
			c.zones = append(c.zones, zone)
		}
		if rack == nil || rack.name != n.Rack {
			rack = &group{
				name:  n.Rack,
				first: i,
			}
			c.racks = append(c.racks, rack)
		}
		n.rack, n.zone = rack, zone
		rack.last, zone.last = i+1, i+1
		if !n.idle() {
			rack.busy++
			zone.busy++
		}
	}
}

// use marks an entry as present on a node.
func (n *node) use(e *entry) {
	if slices.Contains(n.entries, e) {
		return
	}
	n.entries = append(n.entries, e)
	if len(n.entries) == 1 && n.rack != nil {
		n.rack.busy++
		n.zone.busy++
	}
}

// leave undoes use.
func (n *node) leave(e *entry) {
	at := slices.Index(n.entries, e)
	if at < 0 {
		return
	}
	n.entries = slices.Delete(n.entries, at, at+1)
	if len(n.entries) == 0 && n.rack != nil {
		n.rack.busy--
		n.zone.busy--
	}
}
