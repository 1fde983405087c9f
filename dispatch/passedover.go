package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"radishpath.example/radishpath/cell/cellpb"
)

// passReason is why an executor was passed over, as shown to operators.
type passReason string

const (
	passSilent      passReason = "no recent report"
	passDraining    passReason = "draining or gone"
	passZone        passReason = "zone out of service"
	passQuarantine  passReason = "quarantine"
	passRejected    passReason = "rejected a start"
	passLabel       passReason = "label"
	passSize        passReason = "too small"
	passTicket      passReason = "no ticket"
	passRoom        passReason = "room"
	passReservation passReason = "reserved for other work"
	passSuspect     passReason = "recent failures or suspect tasks"
	passHeadroom    passReason = "headroom for urgent work"
	passSpeed       passReason = "too slow"
	passNeighbours  passReason = "neighbours"
	passFit         passReason = "another fits better"
)

// passedOver counts the executors of a unit's service that aren't chosen, by reason.
func (p *Planner) passedOver(
	snap *cellSnapshot, u *schedulingUnit, chosen assignment, now Instant,
) []*cellpb.PassedOver {
	counts := map[passReason]*cellpb.PassedOver{}
	service := p.queue(u.group.job.spec).Service
	for _, e := range p.executors {
		if e.state == nil || e.state.GetService() != service ||
			slices.ContainsFunc(chosen, func(c *candidate) bool { return c.executor == e }) {
			continue
		}
		reason := p.passReason(snap, u, e, now)
		if counts[reason] == nil {
			counts[reason] = &cellpb.PassedOver{
				Reason: string(reason),
				Agent:  e.agent,
			}
		}
		counts[reason].Executors++
		counts[reason].Agent = min(counts[reason].GetAgent(), e.agent)
	}
	return slices.SortedFunc(maps.Values(counts), func(x, y *cellpb.PassedOver) int {
		return cmp.Or(-cmp.Compare(x.GetExecutors(), y.GetExecutors()), cmp.Compare(x.GetReason(), y.GetReason()))
	})
}

// passReason returns the first reason for which an executor doesn't take a unit's first task.
func (p *Planner) passReason(snap *cellSnapshot, u *schedulingUnit, e *executor, now Instant) passReason {
	constraints := p.constraintsOf(u.group)
	c, ok := snap.byIncarnation[e.incarnation]
	switch {
	case !ok || now.BootTime-e.reportedAt > p.config.ReportTimeout || e.state.GetSilent():
		return passSilent
	case e.state.GetDraining() || e.state.GetGone():
		return passDraining
	case p.operations.EvacuatedZones[e.state.GetZone()]:
		return passZone
	case !e.health.schedulable(now.BootTime):
		return passQuarantine
	case !c.schedulable:
		return passRejected
	case !e.hasLabel(constraints.requiredLabel):
		return passLabel
	case !e.capacity().Covers(constraints.request):
		return passSize
	case constraints.adviceGroup != nil && !constraints.adviceGroup.adviceCache.allows(e.incarnation, now.BootTime):
		return passTicket
	}
	return p.roomReason(snap, u, c)
}

// roomReason returns the reason for which a candidate that accepts work doesn't take a unit's first task.
func (p *Planner) roomReason(snap *cellSnapshot, u *schedulingUnit, c *candidate) passReason {
	request := requestedResources(u.group.step)
	switch {
	case !c.free.Covers(request) && c.reservedFrom.Covers(request):
		return passReservation
	case !c.free.Covers(request):
		return passRoom
	case !snap.allowsTask(c, u.tasks[0], map[string]int{}):
		return passSuspect
	case u.deferrable && c.headroom:
		return passHeadroom
	case c.slowdown > u.speedLimit:
		return passSpeed
	case u.disturbance(c) > 0:
		return passNeighbours
	}
	return passFit
}
