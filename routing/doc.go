// Package routing selects the backend server for a small request, limits retries, and admits requests of workspaces.
// It does no I/O; times are passed in. A Router and a Budget are safe for concurrent use.
//
// # Usage
//
//	router := routing.New(routing.Config{
//		Distance: latencyBetweenZones,
//	})
//	if err := router.Admit(now, limits, queued); err != nil {
//		return err // over a limit; nothing was run
//	}
//	choice, err := router.Pick(now, request, servers)
//	// send the request to choice.Server, then always:
//	router.Observe(now, observation)
//
// # Selection
//
// The server with the least expected wait and travel wins, of those the one with the least estimated work. A request
// does not wait where a slot is free; elsewhere it waits for the work per slot: the run time of what the server
// announced as outstanding and of what this router sent since. Servers are passed over when they are silent
// for 3 s, leaving, in a zone out of service, failing, full, or excluded by the request; a Choice and a NoServerError
// name them with the reason.
//
// # Classes
//
// A request is small when its estimate is at most Config.Small. Estimates are learned from run times per workspace and
// kind. Declared run times are wrong by up to 10 times, so before the first observation a request counts as small only
// if ten times its declared time is small. A request that runs longer than Config.Small counts as large from then on.
// Large requests leave an eighth of every server's slots free, at least one, so that small requests do not wait behind
// them.
//
// # Failures
//
// After 3 failures of different jobs in a row a server is passed over for 1 s, then doubled up to 30 s. After that, one
// idempotent request at a time tries it, until one succeeds.
package routing
