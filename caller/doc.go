// Package caller serves the HTTP and JSON API with which callers submit, look up and cancel jobs.
//
// # Usage
//
//	server := caller.NewServer(caller.ServerConfig{
//		Logger:       logger,
//		Clock:        clock,
//		Submit:       submit,
//		Lookup:       lookup,
//		Cancel:       cancel,
//		Authenticate: authenticate,
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
//	200  the job has ended: done, failed or cancelled
//	202  the job is queued or running, or its state is unknown
//	400  the request is invalid; the reply lists every finding; the job is not run
//	401  no valid token
//	404  the job certainly does not exist
//	413  the body is larger than 1 MiB; the job is not run
//	429  the submission exceeds a limit of the workspace; the job is not run
//	503  the job was not accepted and is not run
//
// A submission whose outcome is not known is answered with status 202 and state "unknown", never with an error status,
// so that an error status always means that the job is not run.
//
// # Shutdown
//
// When the context of Serve ends, /readyz fails. The server continues for the drain delay, so that the load balancer
// notices, and then answers waiting calls with the job's current state. No request is interrupted.
package caller
