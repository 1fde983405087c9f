package dispatch

import (
	"cmp"
	"slices"

	"radishpath.example/radishpath/cell"
)

// reasonCapacity is the reason for stopping a run that may not have begun and for which its executor has no room.
const reasonCapacity stopReason = "executor over capacity"

// withdrawExcessStarts withdraws unconfirmed starts from candidates whose runs occupy more than their capacity. That
// happens when an executor shrinks, or lists a run that wasn't expected there. An executor without an admission check
// would carry out such a start all the same, another one would reject it. Confirmed runs go on: nothing asks for their
// end. The starts of the least urgent work are withdrawn first, and of equals the newest.
func (p *Planner) withdrawExcessStarts(snap *cellSnapshot, now Instant) {
	for _, c := range snap.candidates {
		if !c.free.IsExceeded() {
			continue
		}
		remaining, unconfirmed := p.unconfirmedStarts(c)
		slices.SortFunc(unconfirmed, func(x, y *taskRun) int {
			return cmp.Or(
				-cmp.Compare(p.priority(x.task.group.job.spec), p.priority(y.task.group.job.spec)),
				-cmp.Compare(x.startedAt, y.startedAt),
				-compareTasks(x.task, y.task),
			)
		})
		// Starts that need what is lacking go first. If confirmed runs alone exceed the capacity, all starts go.
		for _, onlyLacking := range []bool{true, false} {
			for _, run := range unconfirmed {
				withdrawn := run.stopping || run.task.run != run
				if withdrawn || !remaining.IsExceeded() ||
					(onlyLacking && !remaining.LacksAnyOf(requestedResources(run.task.group.step))) {
					continue
				}
				for _, victim := range victims(run) {
					remaining = remaining.Plus(p.withdrawStart(c, victim, now))
				}
			}
		}
	}
}

// withdrawStart stops a run, which is the withdrawn one or another member of its gang, and returns the resources that
// its start doesn't occupy on the candidate any more.
func (p *Planner) withdrawStart(c *candidate, run *taskRun, now Instant) cell.Capacity {
	request := requestedResources(run.task.group.step)
	unconfirmed := run.incarnation == c.incarnation && !run.running
	if unconfirmed && !run.sent {
		c.free = c.free.Plus(request)
	}
	p.stopRun(run, reasonCapacity, now)
	if !unconfirmed {
		return cell.Capacity{}
	}
	return request
}

// unconfirmedStarts returns the runs on a candidate that it hasn't listed, and what is free once those of them that are
// being stopped are gone.
func (p *Planner) unconfirmedStarts(c *candidate) (cell.Capacity, []*taskRun) {
	remaining := c.free
	var unconfirmed []*taskRun
	for run := range p.runsByAgent[c.agent] {
		switch {
		case run.incarnation != c.incarnation || run.running:
		case run.stopping:
			remaining = remaining.Plus(requestedResources(run.task.group.step))
		default:
			unconfirmed = append(unconfirmed, run)
		}
	}
	return remaining, unconfirmed
}
