package document

import (
	"fmt"
	"slices"
	"strings"
)

// guarantee is one guaranteed shape with the workspace that holds it.
type guarantee struct {
	workspace Workspace
	shape     Shape
}

// Check reports the guarantees that do not fit on the announced workers of the zones in service, all at the same time.
// The error is of type Findings and says what would have to change. What Check
// places does fit. It packs the members of a shape in one order only, so with workers of unequal sizes it can report a
// guarantee that would fit: 65 of 11,404 random sets on 2 to 6 workers of 1 to 8 accelerators.
func Check(d Document, workers []Capacity) error {
	var findings Findings
	pool := newPool(inService(d, workers))
	for _, missing := range pool.placeAll(d.guarantees()) {
		findings = append(findings, Finding{
			File:    d.name,
			Section: workspaceTitle(missing.workspace.Name),
			Key:     "guarantee",
			Line:    missing.workspace.GuaranteeLine,
			Problem: d.explain(missing, pool, workers),
		})
	}
	return findings.Sorted().Err()
}

// explain says how far a guarantee fits and what would have to change. The pool holds all guarantees that fit.
func (d Document) explain(missing guarantee, pool *pool, workers []Capacity) string {
	shape := missing.shape
	if len(pool.workers) == 0 {
		return fmt.Sprintf("%s does not fit: no worker is announced in the zones in service", shape)
	}
	room, domain := pool.best(shape)
	beside := ""
	if len(pool.placed) > 0 {
		beside = " beside the other guarantees"
	}
	short := shape.Members - room
	changes := []string{
		fmt.Sprintf("add room for %d more %s of %d accelerators there", short, plural(short, "member"), shape.Accelerators),
	}
	if room > 0 {
		smaller := shape
		smaller.Members = room
		changes = append(changes, fmt.Sprintf("lower the guarantee to %s", smaller))
	}
	for scope := shape.Scope + 1; scope <= ScopeZone; scope++ {
		wider := shape
		wider.Scope = scope
		if most, _ := pool.best(wider); most >= shape.Members {
			changes = append(changes, fmt.Sprintf("widen it to %s", wider))
			break
		}
	}
	if zones := d.zonesThatHelp(missing, workers); len(zones) > 0 {
		changes = append(changes, "return zone "+strings.Join(zones, " or ")+" to service")
	}
	return fmt.Sprintf("%s does not fit%s: the best %s (%s) has room for %d of %d %s; %s",
		shape, beside, shape.Scope, domain, room, shape.Members, plural(shape.Members, "member"),
		strings.Join(changes, ", or "))
}

func (d Document) guarantees() []guarantee {
	var all []guarantee
	for _, workspace := range d.Workspaces {
		for _, shape := range workspace.Guarantees {
			all = append(all, guarantee{
				workspace: workspace,
				shape:     shape,
			})
		}
	}
	slices.SortStableFunc(all, func(a, b guarantee) int {
		if a.shape.Total() != b.shape.Total() {
			return b.shape.Total() - a.shape.Total()
		}
		return int(a.shape.Scope - b.shape.Scope)
	})
	return all
}

// zonesThatHelp returns the zones out of service that would hold the guarantee.
func (d Document) zonesThatHelp(missing guarantee, workers []Capacity) []string {
	var zones []string
	for _, zone := range d.Zones {
		if zone.In {
			continue
		}
		extra := newPool(slices.DeleteFunc(slices.Clone(workers), func(c Capacity) bool {
			return c.Zone != zone.Name
		}))
		if most, _ := extra.best(missing.shape); most >= missing.shape.Members {
			zones = append(zones, zone.Name)
		}
	}
	return zones
}

func inService(d Document, workers []Capacity) []Capacity {
	var in []Capacity
	for _, worker := range workers {
		if zone, ok := d.Zone(worker.Zone); ok && zone.In {
			in = append(in, worker)
		}
	}
	return in
}

func plural(count int, word string) string {
	if count == 1 {
		return word
	}
	return word + "s"
}
