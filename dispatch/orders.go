package dispatch

import (
	"radishpath.example/radishpath/cell/cellpb"
)

// Orders returns the orders that answer an agent's report.
func (p *Planner) Orders(agent string, now Instant) *cellpb.Orders {
	e, ok := p.executors[agent]
	if !ok {
		return &cellpb.Orders{}
	}
	if e.state == nil || !e.epochConfirmed {
		return &cellpb.Orders{
			Generation: e.generation,
		}
	}
	orders := &cellpb.Orders{
		Generation: e.generation,
		Executor:   e.state.GetId(),
		Born:       e.state.GetBorn(),
		Recorded:   e.lastStoredEnd,
		Speed:      p.speedOf(agent),
	}
	if !e.state.GetSilent() {
		// Runs of a silent executor are given up when the leases that its agent has reported have ended.
		orders.GrantMs = e.state.GetSteadyMs() + p.config.LeaseDuration.Milliseconds()
	}
	for _, stop := range e.orphans {
		orders.Stops = append(orders.Stops, stop)
	}
	for run := range p.runsByAgent[agent] {
		if run.incarnation != e.incarnation {
			continue
		}
		switch {
		case run.stopping:
			orders.Stops = append(orders.Stops, &cellpb.Stop{
				Task: run.task.id.String(),
				Run:  run.runNumber,
			})
		case !run.running && run.batch <= p.committedBatch:
			resent := run.sent
			run.sent = true
			orders.Starts = append(orders.Starts, &cellpb.Start{
				Task:       run.task.id.String(),
				Run:        run.runNumber,
				Spec:       run.task.group.job.spec.GetSpec(),
				Checkpoint: run.task.checkpoint,
				Ticket:     run.task.group.adviceCache.tickets[run.incarnation].value,
				Resent:     resent,
			})
		}
	}
	return orders
}

// OrdersVersion returns a number that changes whenever the orders for an agent change.
func (p *Planner) OrdersVersion(agent string) int64 {
	if e, ok := p.executors[agent]; ok {
		return e.ordersVersion
	}
	return 0
}

// Agents returns the addresses of at most count agents that reported recently. The selection varies between calls, so
// that agents learn addresses from all parts of the cell.
func (p *Planner) Agents(count int, now Instant) []string {
	var addresses []string
	for _, e := range p.executors {
		if len(addresses) == count {
			break
		}
		if now.BootTime-e.reportedAt < p.config.ReportTimeout && e.address != "" {
			addresses = append(addresses, e.address)
		}
	}
	return addresses
}
