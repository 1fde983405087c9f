// Package agent implements the agent of one executor. It is the executor's only client: it extends leases as far as the
// scheduler granted, retries starts and stops until their outcome is known, and reports running and ended tasks. It
// also forwards the reports of agents that can't reach the scheduler.
//
// # Usage
//
//	controller := agent.New(agent.Config{
//		ID:       "side-1",
//		Executor: platform.NewExecutor(...),
//		Call:     pool.Call,
//	})
//	go func() { done <- controller.Run(ctx) }()
//	controller.HandleHeartbeat(heartbeat)
package agent
