package placement

import (
	"cmp"
	"slices"
	"time"
)

// unit is one guaranteed shape with its place in the plan.
type unit struct {
	space *space
	shape Shape
	cells []piece
	// jobs counts the running jobs that are charged to the unit; the place is fixed while there are any.
	jobs int
	// warm is the time until which the place stays clear of others' work after it was reclaimed by evictions.
	warm time.Time
}

func (u *unit) placed() bool {
	return len(u.cells) > 0
}

// contains reports whether the unit covers accelerators of a node.
func (u *unit) contains(n *node, mask uint64) bool {
	for _, c := range u.cells {
		if c.node == n && c.mask&mask != 0 {
			return true
		}
	}
	return false
}

// plan holds a place for every guaranteed shape at the same time. Places never overlap and never lie on workers that
// are out of service.
type plan struct {
	cell   *cell
	finder *finder
	units  []*unit
	rooms  []room
	// stale is set when units lack a place and the cell has changed since the last attempt.
	stale bool
}

// missing returns the units without a place, which exist only when the workers in service cannot hold them.
func (p *plan) missing() []*unit {
	var out []*unit
	for _, u := range p.units {
		if !u.placed() {
			out = append(out, u)
		}
	}
	return out
}

// set replaces the units; those that are dropped have been lifted. The order decides which ones get a place when there
// is not enough room.
func (p *plan) set(units []*unit) {
	slices.SortStableFunc(units, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(b.shape.Accelerators, a.shape.Accelerators),
			cmp.Compare(b.shape.Members, a.shape.Members),
			cmp.Compare(a.shape.Scope, b.shape.Scope),
		)
	})
	p.units = units
	p.stale = true
}

func (p *plan) put(u *unit, cells []piece) {
	u.cells = append([]piece(nil), cells...)
	for _, c := range u.cells {
		c.node.plan |= c.mask
	}
}

func (p *plan) lift(u *unit) {
	for _, c := range u.cells {
		c.node.plan &^= c.mask
		c.node.pinned &^= c.mask
	}
	u.cells = nil
	u.jobs = 0
}

func (p *plan) pin(u *unit) {
	u.jobs++
	for _, c := range u.cells {
		c.node.pinned |= c.mask
	}
}

func (p *plan) unpin(u *unit) {
	u.jobs--
	if u.jobs > 0 {
		return
	}
	for _, c := range u.cells {
		c.node.pinned &^= c.mask
	}
}

// openRooms returns the accelerators that a unit may take: taken gives the part of a node that is excluded.
func (p *plan) openRooms(taken func(n *node) uint64) []room {
	p.rooms = p.rooms[:0]
	for _, n := range p.cell.nodes {
		r := room{}
		if n.inService() {
			r.open = true
			r.mask = n.all &^ n.stuck &^ taken(n)
			r.dear = n.all &^ n.free
		}
		p.rooms = append(p.rooms, r)
	}
	return p.rooms
}

func planned(n *node) uint64 {
	return n.plan
}

func pinned(n *node) uint64 {
	return n.pinned
}

// fit gives a unit the cheapest place beside the rest of the plan.
func (p *plan) fit(u *unit) bool {
	cells, ok := p.finder.find(p.openRooms(planned), u.want())
	if ok {
		p.put(u, cells)
	}
	return ok
}

// complete places all units that lack a place. It first keeps the others where they are, then packs all floating units
// anew, then searches with a bounded number of steps. If nothing holds them all, those that have a place keep it: a
// shape never loses its place to another one.
func (p *plan) complete() {
	if !p.stale {
		return
	}
	p.stale = false
	ok := true
	for _, u := range p.units {
		if !u.placed() && !p.fit(u) {
			ok = false
		}
	}
	if ok {
		return
	}
	before := p.save(p.units)
	if p.pack() {
		return
	}
	if !p.search() {
		p.restore(before)
	}
}

// pack places all floating units anew, the largest first.
func (p *plan) pack() bool {
	for _, u := range p.units {
		if u.jobs == 0 {
			p.lift(u)
		}
	}
	ok := true
	for _, u := range p.units {
		if u.jobs == 0 && !p.fit(u) {
			ok = false
		}
	}
	return ok
}

// search tries all packings of the floating units within a bounded number of steps.
func (p *plan) search() bool {
	var floating []*unit
	for _, u := range p.units {
		if u.jobs == 0 {
			p.lift(u)
			floating = append(floating, u)
		}
	}
	s := newPacking(p.cell, p.openRooms(planned), floating)
	if !s.unit(0) {
		return false
	}
	for i, u := range floating {
		p.put(u, s.cells[i])
	}
	return true
}

// savedUnit is a floating unit's place, for undoing a change.
type savedUnit struct {
	unit  *unit
	cells []piece
}

func (p *plan) save(units []*unit) []savedUnit {
	saved := make([]savedUnit, 0, len(units))
	for _, u := range units {
		if u.jobs == 0 {
			saved = append(saved, savedUnit{
				unit:  u,
				cells: u.cells,
			})
		}
	}
	return saved
}

func (p *plan) restore(saved []savedUnit) {
	for _, s := range saved {
		p.lift(s.unit)
	}
	for _, s := range saved {
		p.put(s.unit, s.cells)
	}
}

func (u *unit) want() *want {
	return &want{
		members:      u.shape.Members,
		accelerators: u.shape.Accelerators,
		scope:        u.shape.Scope,
	}
}
