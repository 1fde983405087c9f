// Package node is the agent of one executor, and the executor's only client: it extends leases as far as the scheduler
// granted, retries starts and stops until their outcome is known, and reports running and ended tasks. It also forwards
// the reports of agents that can't reach the scheduler.
//
// # Usage
//
//	n := node.New(node.Config{
//		ID:       "side-1",
//		Executor: platform.NewExecutor(...),
//		Exchange: pool.Exchange,
//	})
//	go func() { done <- n.Run(ctx) }()
//	n.Beat(heartbeat)
package node
