// Package placement decides where gang jobs run in one cell, in which order, and what is evicted for them. It is pure:
// no I/O, no goroutines, no clock. All times are passed in, and the same calls give the same decisions.
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
//		// Carry out place and evict; report ends with Ended.
//	}
//
// Decide is called after every change and at least every 500 ms while jobs wait: probes, ramps of returning zones and
// deadlines depend on time alone.
//
// # Guarantees
//
// A guarantee is a shape: members x accelerators with a scope of adjacency. Every guaranteed shape is a unit with
// concrete accelerators, the plan. Places of units never overlap. A job that lies inside its own workspace's units runs
// within the guarantee and is never evicted for others; it pins these units. Units without jobs float: the plan moves
// them when another place suits better. All other work is borrowed and must be evictable, so the plan can be reclaimed
// as a whole at any moment. A unit carries the proportional part of the worker's cores and memory; a member that needs
// more is charged more accelerators of the unit.
//
// # Order
//
// Urgent jobs come first while their workspace is within its share. Then workspaces are served by what they use of
// their share, with a bounded bonus for waiting. Within a workspace, jobs are ordered by arrival plus a slack that is
// proportional to the estimated run time and bounded, so that short jobs pass long ones but only for a limited time.
// The oldest blocked large job holds a reservation; others run on its place only if they are expected to end before.
package placement
