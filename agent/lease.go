package agent

import "time"

// leavingLease is how long the leases of a draining executor last beyond its newest answer or, if that is later, beyond
// the time that it said to stay. It may end without a notice from then on, and its runs count as ended only once their
// leases have. It bridges a restart of the agent's process.
const leavingLease = 3 * time.Second

// leaseBound is the time on an executor's clock beyond which no lease of its runs lasts.
type leaseBound struct {
	// known is set once a grant also bounds the leases that an earlier process of this agent has requested.
	known bool
	end   time.Duration
}

// withRequest returns the bound after a request for leases up to a time.
func (b leaseBound) withRequest(end time.Duration) leaseBound {
	b.end = max(b.end, end)
	return b
}

// withGrant returns the bound after a grant that is based on an answer to this process: no earlier one is higher.
func (b leaseBound) withGrant(end time.Duration) leaseBound {
	if b.known || end == 0 {
		return b
	}
	b.known = true
	return b.withRequest(end)
}

// nextLeaseEnd returns the time on the executor's clock up to which the next hold extends the leases.
func (i *incarnation) nextLeaseEnd() time.Duration {
	if i.leavesAt == 0 {
		return i.leaseLimit
	}
	return min(i.leaseLimit, max(i.leavesAt, i.inventory.Clock)+leavingLease)
}
