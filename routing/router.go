package routing

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// announcementTimeout is how long after its last announcement a server still receives requests.
	announcementTimeout = 3 * time.Second
	// serverStateTTL is how long the state of a server is kept after it was last offered to Pick.
	serverStateTTL = 10 * time.Minute
	// defaultMaxConnections is the limit in current deployments.
	defaultMaxConnections = 60
	// defaultSmallThreshold is the largest run time of a small request.
	defaultSmallThreshold = time.Second
	// defaultZoneRTT is the round trip between two availability zones in current deployments: 1.5 ms one way.
	defaultZoneRTT = 3 * time.Millisecond
	// reservedSlotDivisor reserves one slot in 8 for small requests.
	reservedSlotDivisor = 8
	// failureThreshold is the number of consecutive failures that opens the circuit breaker of a server. The backoff
	// starts at initialBackoff and doubles up to maxBackoff; maxBackoffShift keeps the shift from overflowing.
	failureThreshold = 3
	initialBackoff   = time.Second
	maxBackoff       = 30 * time.Second
	maxBackoffShift  = 5
)

// Config holds the settings of a Router.
type Config struct {
	// SmallThreshold is the largest estimated run time of a small request; zero means 1 s.
	SmallThreshold time.Duration
	// ZoneRTT returns the network round trip time between two availability zones; nil means 3 ms between different
	// zones.
	ZoneRTT func(from, to string) time.Duration
}

// Router selects backend servers for requests and applies the admission limits of workspaces.
type Router struct {
	config              Config
	mu                  sync.Mutex
	runTimeEstimator    *runTimeEstimator
	admissionController admissionController
	servers             map[string]*serverState
	// small and large are the moving averages of the run times of each class.
	small      time.Duration
	large      time.Duration
	lastPruned time.Time
}

// New returns a Router with no observations.
func New(config Config) *Router {
	if config.SmallThreshold == 0 {
		config.SmallThreshold = defaultSmallThreshold
	}
	if config.ZoneRTT == nil {
		config.ZoneRTT = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return defaultZoneRTT
		}
	}
	return &Router{
		config:           config,
		runTimeEstimator: newRunTimeEstimator(),
		admissionController: admissionController{
			buckets: map[string]*rate.Limiter{},
		},
		servers: map[string]*serverState{},
		small:   config.SmallThreshold / declaredErrorFactor,
		large:   config.SmallThreshold * declaredErrorFactor,
	}
}

// Admit checks a new request against the limits of its workspace, which has unfinishedJobs jobs that have not ended.
// Errors wrap ErrRateLimited or ErrQueueFull.
func (r *Router) Admit(now time.Time, limits Limits, unfinishedJobs int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admissionController.admit(now, limits, unfinishedJobs)
}

// Observe records the end of a request that was sent to the server selected by Pick. It must be called exactly once for
// each request for which Pick returned a server.
func (r *Router) Observe(now time.Time, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Outcome == OutcomeSucceeded && o.RunTime > 0 {
		r.runTimeEstimator.update(o.Workspace, o.Kind, o.RunTime)
		r.updateClassAverage(o.RunTime)
	}
	state, ok := r.servers[o.Server]
	if !ok {
		return
	}
	delete(state.pending, o.JobID)
	switch o.Outcome {
	case OutcomeSucceeded:
		state.recordSuccess()
	case OutcomeFailed, OutcomeConnectionLost:
		state.recordFailure(now, o.JobID)
	case OutcomeRejected:
		// The server replied in time, but a rejection does not show whether work on it would succeed.
		if state.probeJob == o.JobID {
			state.probeJob = ""
		}
	}
}

// Pick selects a server and counts the request as sent to it. Errors wrap ErrNoServer (a NoServerError) or ErrDeadline.
func (r *Router) Pick(now time.Time, request Request, servers []Server) (Choice, error) {
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return Choice{}, fmt.Errorf("route job %s: %w", request.JobID, ErrDeadline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	expected, upperBound := r.runTimeEstimator.predict(request)
	choice := Choice{
		Large:    upperBound > r.config.SmallThreshold || upperBound == 0,
		Estimate: expected,
	}
	if expected == 0 {
		choice.Estimate = r.large
	}
	var bestState *serverState
	var bestWait, bestWork time.Duration
	var bestRank uint64
	for i := range servers {
		server := &servers[i]
		state := r.serverState(now, server.ID)
		outstanding, large, work := r.outstanding(now, server, state)
		if skip := skipReason(now, &request, server, state, outstanding, large, choice.Large); skip != "" {
			choice.Skipped = append(choice.Skipped, Skipped{
				Server: server.ID,
				Reason: skip,
			})
			continue
		}
		rtt := r.config.ZoneRTT(request.Zone, server.Zone)
		// In a free slot a request starts at once, however long the other requests on the server take.
		wait, rank := rtt, tieBreakRank(request.JobID, server.ID)
		if outstanding >= server.Slots {
			wait += work / time.Duration(max(server.Slots, 1))
		}
		comparison := cmp.Or(cmp.Compare(wait, bestWait), cmp.Compare(work, bestWork), cmp.Compare(rank, bestRank))
		if bestState != nil && comparison >= 0 {
			continue
		}
		bestState, bestWait, bestWork, bestRank = state, wait, work, rank
		choice.Server, choice.Wait = server.ID, wait
	}
	if bestState == nil {
		return Choice{}, fmt.Errorf("route job %s: %w", request.JobID, &NoServerError{
			Skipped: choice.Skipped,
		})
	}
	// Estimates may be wrong by the same factor as declared run times, so the request is sent if it might still start
	// in time.
	if !request.Deadline.IsZero() && now.Add(choice.Wait/declaredErrorFactor).After(request.Deadline) {
		return Choice{}, fmt.Errorf("route job %s: %w: expected wait %s", request.JobID, ErrDeadline, choice.Wait)
	}
	bestState.recordSent(now, &request, choice)
	return choice, nil
}

// updateClassAverage updates the average run time of the class that the actual run time belongs to.
func (r *Router) updateClassAverage(runTime time.Duration) {
	average := &r.small
	if runTime > r.config.SmallThreshold {
		average = &r.large
	}
	*average += time.Duration(smoothingFactor * float64(runTime-*average))
}

// serverState returns the state of a server, creating it if needed, and marks the server as offered.
func (r *Router) serverState(now time.Time, serverID string) *serverState {
	state, ok := r.servers[serverID]
	if !ok {
		state = &serverState{
			pending: map[string]pending{},
		}
		r.servers[serverID] = state
	}
	state.lastOffered = now
	return state
}

// outstanding returns the total number of outstanding requests at a server, the number of large ones, and their
// estimated work. It adds the requests that this router sent after the announcement to the announced ones.
func (r *Router) outstanding(now time.Time, server *Server, state *serverState) (total, large int, work time.Duration) {
	var reclassified int
	for _, request := range state.pending {
		isLarge := request.large || now.Sub(request.sentAt) > r.config.SmallThreshold
		if isLarge && !request.large {
			reclassified++
		}
		if request.sentAt.Before(server.LastAnnounced) {
			continue
		}
		total++
		work += request.estimate
		if isLarge {
			large++
		}
	}
	// Requests that were sent as small and have since been reclassified as large were announced as small.
	announcedLarge := min(server.OutstandingLarge+reclassified, server.Outstanding)
	work += time.Duration(server.Outstanding-announcedLarge)*r.small + time.Duration(announcedLarge)*r.large
	return total + server.Outstanding, large + announcedLarge, work
}

// recordSent adds a request that is about to be sent to the server.
func (s *serverState) recordSent(now time.Time, request *Request, choice Choice) {
	s.pending[request.JobID] = pending{
		sentAt:   now,
		estimate: choice.Estimate,
		large:    choice.Large,
	}
	if s.consecutiveFailures >= failureThreshold {
		s.probeJob = request.JobID
	}
}

// prune removes the state of servers that have not been offered for serverStateTTL.
func (r *Router) prune(now time.Time) {
	if now.Sub(r.lastPruned) < serverStateTTL {
		return
	}
	r.lastPruned = now
	for id, state := range r.servers {
		if now.Sub(state.lastOffered) > serverStateTTL {
			delete(r.servers, id)
		}
	}
}

// tieBreakRank orders servers of equal cost differently for each job, so that concurrent entries do not all choose the
// same server. It is the FNV-1a hash of both IDs.
func tieBreakRank(jobID, serverID string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for _, part := range []string{jobID, serverID} {
		for i := range len(part) {
			hash = (hash ^ uint64(part[i])) * prime
		}
	}
	return hash
}

// maxLargeSlots returns the number of slots that large requests may use: all but an eighth, and at least one.
func maxLargeSlots(slots int) int {
	return max(slots-max(slots/reservedSlotDivisor, 1), 1)
}

// skipReason returns why the server cannot accept the request, or an empty string if it can.
func skipReason(
	now time.Time, request *Request, server *Server, state *serverState, outstanding, outstandingLarge int, isLarge bool,
) Reason {
	maxConnections := server.MaxConnections
	if maxConnections == 0 {
		maxConnections = defaultMaxConnections
	}
	switch {
	case server.ZoneOutOfService:
		return ReasonOutOfService
	case server.Draining:
		return ReasonDraining
	case now.Sub(server.LastAnnounced) > announcementTimeout:
		return ReasonSilent
	case slices.Contains(request.ExcludedServers, server.ID):
		return ReasonExcluded
	case state.circuitOpen(now, request.Idempotent):
		return ReasonFailing
	case outstanding >= maxConnections:
		return ReasonConnectionLimit
	case isLarge && outstandingLarge >= maxLargeSlots(server.Slots):
		return ReasonLargeSlotLimit
	}
	return ""
}
