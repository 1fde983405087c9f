package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
)

// preemptionPlan holds the runs to preempt so that a unit can be placed, and where to place it.
type preemptionPlan struct {
	chosen      assignment
	preemptions []*taskRun
	cost        float64
}

// maxPreemptionCostShare is the maximum cost of a preemption for work that isn't guaranteed, relative to the expected
// work of the preempting unit.
const maxPreemptionCostShare = 1.0

// Weights of preempted work by priority. Work of priority 0 is as urgent as the preempting unit; among the rest, the
// least urgent is preempted first. Work of priority 1 loses most of its value if it has to restart in a full cell.
const (
	priority0Weight = 10
	priority1Weight = 4
)

// restartPenalty is added to the cost of a preemption for a gang and for each earlier preemption, as run time. It
// accounts for waiting for resources again, which for a gang must be free for all its members at once. Without it,
// preempting a run that has just started would cost nothing, and the same work would be preempted repeatedly.
const restartPenalty = 2 * time.Second

// preempt preempts other work so that urgent work can start. It handles a burst of urgent work that arrives while
// long-running work fills the cell: guaranteed work starts within its time limit at any cost, other urgent work only if
// little work is lost. The released resources are reserved for the unit in this and all later passes until the
// preempted runs have ended.
//
// The cost is at most maxCost. It reports whether work was preempted, or room that is being released was reserved.
func (p *Planner) preempt(
	snap *cellSnapshot, u *schedulingUnit, options [][]*candidate, maxCost float64, now Instant,
) bool {
	best := p.cheapestPlan(snap, u, options, now)
	if best == nil || best.cost > maxCost {
		return false
	}
	best.chosen.reserve(requestedResources(u.group.step))
	preempted := map[*attempts]bool{}
	for _, run := range best.preemptions {
		p.config.Log("preempting run", "for", u.tasks[0].id.String(), "task", run.task.id.String(), "run", run.runNumber,
			"agent", run.agent, "waste", lostWork(run, now))
		preempted[run.task.attempts()] = true
		p.stopRun(run, reasonPreempted, now)
	}
	for a := range preempted {
		a.preemptions++
	}
	return true
}

// cheapestPlan returns the preemption plan of the first option for which none of the later ones costs much less, or nil
// if there is none.
func (p *Planner) cheapestPlan(
	snap *cellSnapshot, u *schedulingUnit, options [][]*candidate, now Instant,
) *preemptionPlan {
	var best *preemptionPlan
	for _, candidates := range options {
		plan := p.planPreemption(snap, u, candidates, now)
		if plan == nil {
			continue
		}
		// The sets are ordered by preference. A later set, on which the unit may run longer, must cost much less.
		if best == nil || plan.cost < best.cost/p.config.RemoteSlowdown {
			best = plan
		}
	}
	return best
}

// maxPreemptionCost is the most that preempting for a unit may cost. Guaranteed work starts at any cost.
func (p *Planner) maxPreemptionCost(u *schedulingUnit) float64 {
	if u.guaranteed {
		return math.Inf(1)
	}
	return maxPreemptionCostShare * p.expectedWork(u)
}

// planPreemption chooses, task by task, the candidate with the cheapest preemptions.
func (p *Planner) planPreemption(
	snap *cellSnapshot, u *schedulingUnit, candidates []*candidate, now Instant,
) *preemptionPlan {
	plan := &preemptionPlan{}
	request := requestedResources(u.group.step)
	available := map[*candidate]cell.Capacity{}
	for _, c := range snap.candidates {
		available[c] = c.free.Plus(c.releasing)
	}
	stopped := map[*taskRun]bool{}
	tasksByAgent := snap.countTasksByAgent(u.group)
	for _, t := range u.tasks {
		c, preemptions := p.cheapestCandidate(snap, u, t, candidates, available, stopped, tasksByAgent, now)
		if c == nil {
			return nil
		}
		for _, run := range preemptions {
			stopped[run] = true
			if holder, ok := snap.byIncarnation[run.incarnation]; ok {
				available[holder] = available[holder].Plus(requestedResources(run.task.group.step))
			}
		}
		plan.preemptions = append(plan.preemptions, preemptions...)
		plan.cost += p.cost(preemptions, now)
		available[c] = available[c].Minus(request)
		if tasksByAgent != nil {
			tasksByAgent[c.agent]++
		}
		plan.chosen = append(plan.chosen, c)
	}
	return plan
}

func (p *Planner) cheapestCandidate(
	snap *cellSnapshot, u *schedulingUnit, t *task, candidates []*candidate, available map[*candidate]cell.Capacity,
	stopped map[*taskRun]bool, tasksByAgent map[string]int,
	now Instant,
) (*candidate, []*taskRun) {
	var best *candidate
	var bestPreemptions []*taskRun
	for _, c := range candidates {
		if spreadExhausted(u.group.step, tasksByAgent[c.agent]) || !snap.allowsTask(c, t, tasksByAgent) {
			continue
		}
		preemptions, ok := p.preemptionsAt(snap, c, u, available[c], stopped, now)
		if !ok {
			continue
		}
		better := best == nil || cmp.Or(
			cmp.Compare(p.cost(preemptions, now), p.cost(bestPreemptions, now)),
			cmp.Compare(len(preemptions), len(bestPreemptions)),
			cmp.Compare(available[c].Accelerators, available[best].Accelerators),
		) < 0
		if better {
			best, bestPreemptions = c, preemptions
		}
	}
	return best, bestPreemptions
}

// preemptionsAt returns the runs to preempt on a candidate so that one task fits, chosen in order of cost.
func (p *Planner) preemptionsAt(
	snap *cellSnapshot, c *candidate, u *schedulingUnit, available cell.Capacity, stopped map[*taskRun]bool, now Instant,
) ([]*taskRun, bool) {
	request := requestedResources(u.group.step)
	if available.Covers(request) {
		return nil, true
	}
	var preemptible []*taskRun
	for run := range p.runsByAgent[c.agent] {
		if run.incarnation == c.incarnation && !run.stopping && !stopped[run] && p.isPreemptible(run, u, snap.demand) {
			preemptible = append(preemptible, run)
		}
	}
	slices.SortFunc(preemptible, func(x, y *taskRun) int {
		return cmp.Or(
			cmp.Compare(p.cost(victims(x), now), p.cost(victims(y), now)),
			compareTasks(x.task, y.task),
		)
	})
	chosen := map[*taskRun]bool{}
	for _, run := range preemptible {
		if available.Covers(request) {
			break
		}
		if chosen[run] {
			continue
		}
		for _, victim := range victims(run) {
			if !stopped[victim] {
				chosen[victim] = true
			}
			if victim.incarnation == c.incarnation {
				available = available.Plus(requestedResources(victim.task.group.step))
			}
		}
	}
	return slices.SortedFunc(maps.Keys(chosen), func(x, y *taskRun) int {
		return compareTasks(x.task, y.task)
	}), available.Covers(request)
}

// isPreemptible reports whether a run may be stopped for a unit. A run of priority 0 may be stopped only for guaranteed
// work, and only if the demand of its own workspace exceeds the workspace's guarantee.
func (p *Planner) isPreemptible(run *taskRun, u *schedulingUnit, demand map[string]int64) bool {
	g := run.task.group
	if g.step.GetPersistent() || g.done() {
		return false
	}
	spec := g.job.spec
	if p.priority(spec) > 0 {
		return true
	}
	return u.guaranteed && demand[spec.GetWorkspace()] > p.operations.Config.Guaranteed(spec.GetWorkspace())
}

// cost is the work lost by stopping some runs, weighted by priority and by the number of earlier preemptions. Without
// the latter, a burst of urgent work would preempt the same gang repeatedly.
func (p *Planner) cost(runs []*taskRun, now Instant) float64 {
	total := 0.0
	for _, run := range runs {
		step := run.task.group.step
		preemptions := float64(run.task.attempts().preemptions)
		penalties := preemptions
		if step.GetGang() {
			penalties++
		}
		lost := lostWork(run, now) + penalties*coreEquivalents(step)*restartPenalty.Seconds()
		switch p.priority(run.task.group.job.spec) {
		case 0:
			lost = priority0Weight * (lost + 1)
		case 1:
			lost *= priority1Weight
		}
		total += lost * (1 + preemptions)
	}
	return total
}

// expectedWork is the expected work of a unit in core-seconds.
func (p *Planner) expectedWork(u *schedulingUnit) float64 {
	return float64(len(u.tasks)) * coreEquivalents(u.group.step) * p.work(u.group).Seconds()
}
