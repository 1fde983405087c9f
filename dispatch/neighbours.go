package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// kind names what the tasks of a group run. Tasks of the same image behave alike; without images, those of the same
// step of a queue do.
func (g *group) kind() string {
	if image := g.step.GetImage(); image != "" {
		return "image " + image
	}
	return fmt.Sprintf("queue %s step %d", g.job.spec.GetQueue(), g.stepIndex)
}

// kindsBeside returns the kinds of the other runs that were on the run's executor all the while its progress was seen.
func (p *Planner) kindsBeside(run *taskRun) []string {
	var kinds []string
	for other := range p.runsByAgent[run.agent] {
		beside := other != run && other.running && !other.stopping && other.startedClock <= run.pace.firstClock
		if kind := other.task.group.kind(); beside && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// disturbance is the logarithm of the factor by which a task of the unit and the tasks on a candidate slow each other
// down.
func (u *schedulingUnit) disturbance(c *candidate) float64 {
	total := 0.0
	for kind := range c.kinds {
		total += u.conflicts[kind]
	}
	return total
}

// compareNeighbours prefers the candidate on which tasks slow each other down less.
func (u *schedulingUnit) compareNeighbours(x, y *candidate) int {
	if len(u.conflicts) == 0 {
		return 0
	}
	return cmp.Compare(u.disturbance(x), u.disturbance(y))
}

// logNeighbours logs that a task starts beside others although they slow each other down.
func (p *Planner) logNeighbours(u *schedulingUnit, t *task, c *candidate) {
	if len(u.conflicts) == 0 {
		return
	}
	if disturbance := u.disturbance(c); disturbance > 0 {
		p.config.Count("disturbed_placements", "no other room")
		p.config.Log("placed beside tasks that slow each other", "task", t.id.String(), "agent", c.agent,
			"kind", u.group.kind(), "slowdown", percent(math.Exp(disturbance)))
	}
}
