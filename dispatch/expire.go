package dispatch

import (
	"time"

	"radishpath.example/radishpath/cell"
)

// Expire marks runs as lost once the leases of their silent executors have expired, and drops ended jobs after the
// retention period.
func (p *Planner) Expire(now Instant) {
	for agent := range p.runsByAgent {
		p.expireRunsAt(agent, now)
	}
	for id, j := range p.jobs {
		expired := !j.active() && len(j.activeRuns()) == 0 && !j.dirty
		if expired && now.WallMs-j.endedMs > p.config.Retention.Milliseconds() {
			delete(p.jobs, id)
			p.droppedJobs = append(p.droppedJobs, j.spec)
		}
	}
}

func (p *Planner) expireRunsAt(agent string, now Instant) {
	e := p.executors[agent]
	unconfirmed := e == nil || !e.epochConfirmed
	agentSilent := unconfirmed || now.BootTime-e.reportedAt > p.config.ReportTimeout
	for _, run := range p.runsAt(agent) {
		switch {
		case !run.sent && agentSilent:
			p.markLost(run, lostUnsent, now)
		case !run.sent:
		case unconfirmed && now.BootTime-p.tookOverAt > p.config.PredecessorValidity+p.config.leaseTimeout():
			p.noteLapsed(run)
			p.markLost(run, lostUnheard, now)
		case !unconfirmed && now.BootTime-e.answeredAt > e.leaseTimeout(p.config):
			p.noteLapsed(run)
			p.markLost(run, lostLapsed, now)
		}
	}
}

// leaseTimeout returns the time after the executor's last response by which all of its runs have certainly ended. The
// agent of a silent executor reports when the leases end; otherwise it may extend them as far as granted.
func (e *executor) leaseTimeout(config Config) time.Duration {
	if !e.state.GetSilent() || e.state.GetLeaseEndMs() == 0 {
		return config.leaseTimeout()
	}
	left := time.Duration(e.state.GetLeaseEndMs())*time.Millisecond - e.clock()
	return min(cell.LeaseTimeout(max(left, 0), config.StopGrace), config.leaseTimeout())
}
