package document

import (
	"cmp"
	"slices"
)

// maxTries bounds the search for a place of all guarantees; one try packs one shape into one domain.
const maxTries = 20_000

// maxRanked is how many domains the search tries for one shape.
const maxRanked = 16

// pool is the room of announced workers, by domain of each scope.
type pool struct {
	workers []Capacity
	free    []int
	// domains lists the workers of every domain by index.
	domains map[Scope][]domain
	// zones and racks are the positions of each worker's zone and rack.
	zones  []int
	racks  []int
	placed []guarantee
	tries  int
}

// ranked is a domain with its free accelerators.
type ranked struct {
	domain domain
	free   int
}

// domain is a worker, a rack or a zone.
type domain struct {
	name    string
	workers []int
}

func newPool(workers []Capacity) *pool {
	p := &pool{
		workers: slices.Clone(workers),
		domains: map[Scope][]domain{},
	}
	slices.SortFunc(p.workers, func(a, b Capacity) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	for i, worker := range p.workers {
		p.free = append(p.free, worker.Accelerators)
		p.join(ScopeWorker, worker.Worker, i)
		p.join(ScopeRack, worker.Zone+"/"+worker.Rack, i)
		p.join(ScopeZone, worker.Zone, i)
		p.zones = append(p.zones, len(p.domains[ScopeZone]))
		p.racks = append(p.racks, len(p.domains[ScopeRack]))
	}
	return p
}

// best returns the domain with room for the most members of a shape.
func (p *pool) best(shape Shape) (room int, name string) {
	name = "none"
	for _, d := range p.domains[shape.Scope] {
		if fits := p.room(d, shape); name == "none" || fits > room {
			room, name = fits, d.name
		}
	}
	return min(room, shape.Members), name
}

// join adds a worker to a domain; the workers of a domain follow each other.
func (p *pool) join(scope Scope, name string, worker int) {
	domains := p.domains[scope]
	if len(domains) == 0 || domains[len(domains)-1].name != name {
		domains = append(domains, domain{
			name: name,
		})
	}
	last := &domains[len(domains)-1]
	last.workers = append(last.workers, worker)
	p.domains[scope] = domains
}

// pack places a shape in a domain and returns what undoes it. Workers on which the least is left over come first, so
// that larger rooms stay whole.
func (p *pool) pack(d domain, shape Shape) (undo func(), ok bool) {
	if p.room(d, shape) < shape.Members {
		return nil, false
	}
	order := slices.Clone(d.workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(p.free[a]%shape.Accelerators, p.free[b]%shape.Accelerators),
			cmp.Compare(p.free[a], p.free[b]),
		)
	})
	before := make([]int, 0, len(order))
	for _, worker := range order {
		before = append(before, p.free[worker])
	}
	left := shape.Members
	for _, worker := range order {
		members := min(left, p.free[worker]/shape.Accelerators)
		p.free[worker] -= members * shape.Accelerators
		left -= members
	}
	return func() {
		for i, worker := range order {
			p.free[worker] = before[i]
		}
	}, true
}

// placeAll places the guarantees and returns those without a place. If no complete placement is found, it places them
// one after the other, so that the remaining ones are few and the room that is left is known.
func (p *pool) placeAll(all []guarantee) []guarantee {
	if p.search(all) {
		p.placed = all
		return nil
	}
	var missing []guarantee
	for _, g := range all {
		if p.placeFirst(g.shape) {
			p.placed = append(p.placed, g)
			continue
		}
		missing = append(missing, g)
	}
	return missing
}

// placeFirst places a shape in the tightest domain that has room.
func (p *pool) placeFirst(shape Shape) bool {
	for _, d := range p.ranked(shape) {
		if _, ok := p.pack(d, shape); ok {
			return true
		}
	}
	return false
}

// ranked returns the tightest domains with room for a shape, and only one of those that look the same.
func (p *pool) ranked(shape Shape) []domain {
	var ranking []ranked
	seen := map[uint64]bool{}
	for _, d := range p.domains[shape.Scope] {
		if p.room(d, shape) < shape.Members {
			continue
		}
		key, free := p.look(d)
		if seen[key] {
			continue
		}
		seen[key] = true
		ranking = insertRanked(ranking, ranked{
			domain: d,
			free:   free,
		})
	}
	domains := make([]domain, 0, len(ranking))
	for _, r := range ranking {
		domains = append(domains, r.domain)
	}
	return domains
}

// look returns a hash of what distinguishes a domain from others of its scope, and its free accelerators. Domains look
// the same if they lie in the same zone, have the same rooms, and, for a single worker, lie in the same rack.
func (p *pool) look(d domain) (key uint64, free int) {
	// The constants are those of the 64-bit FNV-1a hash.
	const offset, prime = 14695981039346656037, 1099511628211
	around := p.zones[d.workers[0]]
	if len(d.workers) == 1 {
		around = p.racks[d.workers[0]]
	}
	key = (offset ^ uint64(around)) * prime
	for _, worker := range d.workers {
		key = (key ^ uint64(p.free[worker])) * prime
		free += p.free[worker]
	}
	return key, free
}

func (p *pool) room(d domain, shape Shape) int {
	members := 0
	for _, worker := range d.workers {
		members += p.free[worker] / shape.Accelerators
	}
	return members
}

// search places all guarantees with backtracking. Without success it leaves the pool as it was.
func (p *pool) search(all []guarantee) bool {
	if len(all) == 0 {
		return true
	}
	for _, d := range p.ranked(all[0].shape) {
		if p.tries++; p.tries > maxTries {
			return false
		}
		undo, ok := p.pack(d, all[0].shape)
		if !ok {
			continue
		}
		if p.search(all[1:]) {
			return true
		}
		undo()
	}
	return false
}

// insertRanked keeps the tightest domains in order.
func insertRanked(ranking []ranked, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(ranking, r.free+1, func(r ranked, free int) int {
		return cmp.Compare(r.free, free)
	})
	if at >= maxRanked {
		return ranking
	}
	ranking = slices.Insert(ranking, at, r)
	return ranking[:min(len(ranking), maxRanked)]
}
