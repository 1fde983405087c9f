// Package placement decides on which workers of one cell gang jobs run, in which order they start, and which jobs are
// evicted for them. It performs no I/O, starts no goroutines and reads no clock: the caller passes in all times, and
// the same calls give the same decisions.
//
// # Usage
//
//	scheduler := placement.New(placement.Config{})
//	scheduler.SetPolicy(policy)
//	scheduler.SetWorker(now, worker)
//	if err := scheduler.Submit(now, job); err != nil {
//		// The job can never run. The error says what would have to change.
//	}
//	for _, decision := range scheduler.Decide(now) {
//		// Carry out Place and Evict; report the end of runs with Ended.
//	}
//
// The caller calls Decide after every change, and at least every 500 ms while jobs wait, because probes, the ramp-up of
// zones that return to service and deadlines depend on time alone.
//
// # Guarantees
//
// A guarantee is a shape: a number of members with a number of adjacent accelerators each, within a scope of the
// topology. The plan assigns concrete accelerators to every guaranteed shape; these form a guaranteed slot. Slots never
// overlap. A job whose allocations lie inside the slots of its own workspace runs within the guarantee and is never
// evicted for others; it pins these slots. Slots without jobs are floating: the plan moves them when another place is
// better. All other jobs are borrowed and have to be evictable, so that all guarantees can be reclaimed at any time. A
// slot includes the proportional share of the worker's cores and memory. A member that needs more cores or memory is
// charged for more accelerators of the slot.
//
// # Order
//
// Urgent jobs come first while their workspace is within its share. Then workspaces are ordered by their use
// relative to their share, with a bounded bonus for waiting time. Within a workspace, jobs are ordered by arrival
// time plus a bounded slack proportional to the estimated run time, so that short jobs pass long ones, but only for
// a limited time. The oldest large job that does not fit holds a reservation. Other jobs run on the reserved
// accelerators if they are expected to end before the reservation begins, or if they can be evicted when the
// reserved job can start.
package placement
