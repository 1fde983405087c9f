// Package node is the agent beside one executor. It alone orders tasks there: it extends leases as far as the scheduler
// granted, carries out starts and stops until their outcome is known, and reports what runs and what ended. It also
// forwards the reports of agents that don't reach the scheduler.
//
// # Usage
//
//	n := node.New(node.Config{
//		ID:       "side-1",
//		Executor: platform.NewExecutor(...),
//		Exchange: pool.Exchange,
//	})
//	go func() { ended <- n.Run(ctx) }()
//	n.Beat(heartbeat)
package node
