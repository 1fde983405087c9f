// Package caller serves jobs to callers over HTTP and JSON.
//
// # Usage
//
//	server := caller.NewServer(caller.ServerConfig{
//		Logger:       logger,
//		Clock:        clock,
//		Submit:       submit,
//		Lookup:       lookup,
//		Cancel:       cancel,
//		Authenticate: caller.NewTokens(hashes).Authenticate,
//		Ready:        ready,
//	})
//	err := server.Serve(ctx, listener)
//
// # Requests
//
// POST /v1/jobs?wait=30s submits a job and waits for its end. GET /v1/jobs/{id}?wait=30s returns its state and
// DELETE /v1/jobs/{id} cancels it. Each needs "Authorization: Bearer <token>"; a caller sees the jobs of its token's
// workspace only. GET /readyz is for the load balancer.
//
// # Replies
//
//	200  the job has ended: done, failed, refused, cancelled or lost
//	202  the job is queued or running, or its state is unknown
//	400  the request is invalid; every finding is named; the job is not run
//	401  no valid token
//	404  the job certainly does not exist
//	413  the body is larger than 1 MiB; the job is not run
//	429  a limit of the workspace is exceeded; the job is not run
//	503  the job was not accepted and is not run
//
// A submission whose outcome is not known is answered with 202 and the state unknown, never with an error, so that an
// error always means that the job was not run.
//
// # Shutdown
//
// When the context of Serve ends, /readyz fails, the server goes on for the drain time so that the load balancer
// notices, and then answers waiting calls with the job's current state. No request is interrupted.
package caller
