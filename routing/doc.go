// Package routing selects the backend server for a request, limits retries, and applies the admission limits of
// workspaces. It performs no I/O, and callers pass in the current time. A Router and a RetryBudget are safe for
// concurrent use.
//
// # Usage
//
//	router := routing.New(routing.Config{
//		ZoneRTT: roundTripBetweenZones,
//	})
//	if err := router.Admit(now, limits, unfinishedJobs); err != nil {
//		return err // over a limit; the request was not run
//	}
//	choice, err := router.Pick(now, request, servers)
//	// send the request to choice.Server, then report the result in every case:
//	router.Observe(now, observation)
//
// # Selection
//
// Pick selects the server with the lowest expected wait plus network round trip. Ties go to the server with the least
// estimated work. The expected wait is zero on a server with a free slot. On other servers it is the outstanding work
// divided by the number of slots: the estimated run time of the requests that the server announced as outstanding and
// of those that this router has sent since. A server is skipped when it has not been announced for 3 s, is draining, is
// in an availability zone out of service, keeps failing, is at a connection or slot limit, or is excluded by the
// request. A Choice and a NoServerError list the skipped servers with the reason.
//
// # Classes
//
// A request is small when the upper bound of its estimated run time is at most Config.SmallThreshold. Estimates are
// moving averages of observed run times per workspace and kind. Declared run times are wrong by a factor of up to 10,
// so before the first observation a request is small only if ten times its declared run time is within the threshold.
// A request that has run longer than Config.SmallThreshold counts as large from then on. Large requests leave an eighth
// of each server's slots free, at least one slot, so that small requests do not queue behind them.
//
// # Failures
//
// Each server has a circuit breaker. It opens after 3 consecutive failures of different jobs, for 1 s at first, and the
// backoff doubles with each further failure up to 30 s. When the backoff has passed, idempotent requests probe the
// server one at a time until one of them succeeds.
package routing
