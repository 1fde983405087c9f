package agent

import "time"

// leavingLease is how long the leases of a draining executor last beyond its newest answer or, if that is later, beyond
// the time that it said to stay. It may end without a notice from then on, and its runs count as ended only once their
// leases have. It bridges a restart of the agent's process.
const leavingLease = 3 * time.Second

// leases is what is known of the leases of an executor's runs. All times are on the executor's clock.
type leases struct {
	// limit is the time up to which the scheduler lets them be extended.
	limit time.Duration
	// end is the latest time up to which a request has extended them. known is set once a grant also bounds the requests
	// of an earlier process of this agent.
	end   time.Duration
	known bool
	// silentReport is the number of the newest report in which the executor was silent.
	silentReport uint64
}

// withRequest returns the leases after a request to extend them up to a time.
func (l leases) withRequest(end time.Duration) leases {
	l.end = max(l.end, end)
	return l
}

// withGrant returns the leases after a grant in the reply to a report. It has no effect if the executor has been silent
// since: the scheduler may count on the end that was reported.
func (l leases) withGrant(report uint64, end time.Duration) leases {
	if report > l.silentReport {
		l.limit = max(l.limit, end)
	}
	return l
}

// withBound returns the leases after a grant that is based on an answer to this process. Those that an earlier process
// used were lower, since all grants reach equally far beyond the executor's clock.
func (l leases) withBound(end time.Duration) leases {
	if l.known || end == 0 {
		return l
	}
	l.known = true
	return l.withRequest(end)
}

// withSilentReport returns the leases after a report that tells the scheduler when they end. They aren't extended
// further without another grant.
func (l leases) withSilentReport(report uint64) leases {
	l.silentReport = report
	if l.known {
		l.limit = min(l.limit, l.end)
	}
	return l
}

// reportedEnd returns the end of the leases of a silent executor; 0 if it isn't known.
func (l leases) reportedEnd() time.Duration {
	if !l.known {
		return 0
	}
	return l.end
}

// nextLeaseEnd returns the time on the executor's clock up to which the next hold extends the leases.
func (i *incarnation) nextLeaseEnd() time.Duration {
	if i.leavesAt == 0 {
		return i.leases.limit
	}
	return min(i.leases.limit, max(i.leavesAt, i.inventory.Clock)+leavingLease)
}
