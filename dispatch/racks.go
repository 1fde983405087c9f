package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"radishpath.example/radishpath/cell"
)

// placementConstraints holds what determines the candidates of a group.
type placementConstraints struct {
	service       string
	requiredLabel string
	rack          string
	request       cell.Capacity
	// adviceGroup is the group itself if its queue needs advice.
	adviceGroup *group
}

// rackedCandidates holds the candidates for some constraints: by rack, and all of them in the same order. healthy holds
// the agents of those that aren't unreliable.
type rackedCandidates struct {
	racks   [][]*candidate
	all     []*candidate
	healthy []string
}

// satisfies reports whether an executor can ever run a step with the given constraints.
func (e *executor) satisfies(constraints placementConstraints) bool {
	return e.state.GetService() == constraints.service && e.hasLabel(constraints.requiredLabel) &&
		e.capacity().Covers(constraints.request)
}

func (p *Planner) constraintsOf(g *group) placementConstraints {
	queue := p.queue(g.job.spec)
	constraints := placementConstraints{
		service:       queue.Service,
		requiredLabel: g.step.GetRequiredLabel(),
		rack:          g.step.GetDataRack(),
		request:       requestedResources(g.step),
	}
	if queue.NeedsAdvice {
		constraints.adviceGroup = g
	}
	return constraints
}

// racks returns the schedulable candidates for a group by rack, the rack of its data first.
func (p *Planner) racks(snap *cellSnapshot, g *group) rackedCandidates {
	constraints := p.constraintsOf(g)
	racks, ok := snap.racksByConstraints[constraints]
	if !ok {
		racks.racks = snap.groupByRack(constraints)
		racks.all = slices.Concat(racks.racks...)
		for _, c := range racks.all {
			if !c.unreliable() {
				racks.healthy = append(racks.healthy, c.agent)
			}
		}
		snap.racksByConstraints[constraints] = racks
	}
	return racks
}

func (snap *cellSnapshot) groupByRack(constraints placementConstraints) [][]*candidate {
	byRack := map[string][]*candidate{}
	var names []string
	for _, c := range snap.candidates {
		if !c.schedulable || !c.satisfies(constraints) ||
			(constraints.adviceGroup != nil && !constraints.adviceGroup.adviceCache.allows(c.incarnation, snap.now)) {
			continue
		}
		if _, ok := byRack[c.rack()]; !ok {
			names = append(names, c.rack())
		}
		byRack[c.rack()] = append(byRack[c.rack()], c)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(compareTrueFirst(x == constraints.rack, y == constraints.rack), strings.Compare(x, y))
	})
	racks := make([][]*candidate, 0, len(names))
	for _, name := range names {
		racks = append(racks, byRack[name])
	}
	return racks
}
