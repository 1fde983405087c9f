// Package agent is the process beside each backend server and worker. It alone starts work on them: it keeps holds
// and leases, starts tasks in three steps, watches gangs, runs requests, and keeps answers until they are
// acknowledged.
//
// # Usage
//
//	a := agent.New(agent.Config{
//		ID:      "worker-1",
//		Address: "127.0.0.1:7001",
//		Zone:    "curepipe",
//		Entries: []string{"127.0.0.1:7000"},
//		Clock:   clock,
//		Logger:  logger,
//		Metrics: scope,
//		Worker:  workerPort,
//		Backend: backendPort,
//		Peers:   pool,
//		Parse:   parse,
//	})
//	err := a.Run(ctx)
//
// To shut down gracefully, call Leave with a context that bounds the wait, then cancel Run's context:
//
//	err := a.Leave(leaveCtx)
//	cancel()
//
// WorkerPort and BackendPort are filled from platform.Worker and backend.Server. Their Rejected field is the error
// that says that nothing was done; every other error leaves the outcome unknown, and the agent then asks instead of
// doing the work again.
//
// # Answers to peers
//
// A Verdict or ServeReply is definite. Where the agent can't give a definite answer, it gives none, and the caller
// sees a lost connection or its own time limit. A request that Query names as unknown is fenced: a Serve, Hold,
// Commit or StartTask of that attempt that arrives later is refused.
//
// Acknowledge ends the agent's part in a job. For a member of a gang it is to be sent when the whole gang has ended,
// because a member that is done keeps its heartbeats going for the others until then.
package agent
