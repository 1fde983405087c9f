package routing

import "time"

// pending is a request that this router has sent to a server.
type pending struct {
	sentAt   time.Time
	estimate time.Duration
	large    bool
}

// serverState is what the router tracks for a server in addition to its announcements.
type serverState struct {
	// lastOffered is when the server was last among the candidates of Pick.
	lastOffered time.Time
	// pending holds the requests without an observation, by job ID.
	pending map[string]pending
	// consecutiveFailures counts failures since the last success; lastFailedJob is the job of the latest one.
	consecutiveFailures int
	lastFailedJob       string
	// retryAt is when a failing server may be probed; probeJob is the job of the probe in progress, if any.
	retryAt  time.Time
	probeJob string
}

// recordFailure counts a failure. Consecutive failures of the same job count once.
func (s *serverState) recordFailure(now time.Time, jobID string) {
	if s.probeJob == jobID {
		s.probeJob = ""
	}
	if s.consecutiveFailures > 0 && s.lastFailedJob == jobID {
		return
	}
	s.consecutiveFailures++
	s.lastFailedJob = jobID
	if s.consecutiveFailures >= failureThreshold {
		backoff := initialBackoff << min(s.consecutiveFailures-failureThreshold, maxBackoffShift)
		s.retryAt = now.Add(min(backoff, maxBackoff))
	}
}

// circuitOpen reports whether a request must not be sent because of earlier failures. Once the backoff has passed, one
// idempotent request at a time is let through as a probe.
func (s *serverState) circuitOpen(now time.Time, idempotent bool) bool {
	if s.consecutiveFailures < failureThreshold {
		return false
	}
	return now.Before(s.retryAt) || !idempotent || s.probeJob != ""
}

func (s *serverState) recordSuccess() {
	s.consecutiveFailures = 0
	s.lastFailedJob = ""
	s.probeJob = ""
}
