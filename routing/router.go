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
	// silentAfter is the limit of design section 4.
	silentAfter = 3 * time.Second
	// forgetAfter drops what is known of servers that were not offered for that long.
	forgetAfter = 10 * time.Minute
	// defaultConnections is that of today's deployments.
	defaultConnections = 60
	// defaultSmall separates small requests from large ones.
	defaultSmall = time.Second
	// defaultDistance is the round trip between two availability zones of today's deployments: 1.5 ms one way.
	defaultDistance = 3 * time.Millisecond
	// smallShare is the part of the slots, as a divisor, that large requests leave to small ones.
	smallShare = 8
	// failureLimit is that of design section 6; the pauses follow the package comment.
	failureLimit  = 3
	firstPause    = time.Second
	lastPause     = 30 * time.Second
	maxPauseShift = 5
)

// Config configures a Router.
type Config struct {
	// Small is the largest estimate of a small request; zero means 1 s.
	Small time.Duration
	// Distance returns the round trip between two availability zones; nil means 3 ms between different ones.
	Distance func(from, to string) time.Duration
}

// Router selects backend servers.
type Router struct {
	config    Config
	mu        sync.Mutex
	estimates *estimates
	admission admission
	loads     map[string]*load
	// small and large are the moving averages of run times per class.
	small  time.Duration
	large  time.Duration
	pruned time.Time
}

// New returns a Router.
func New(config Config) *Router {
	if config.Small == 0 {
		config.Small = defaultSmall
	}
	if config.Distance == nil {
		config.Distance = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return defaultDistance
		}
	}
	return &Router{
		config:    config,
		estimates: newEstimates(),
		admission: admission{
			buckets: map[string]*rate.Limiter{},
		},
		loads: map[string]*load{},
		small: config.Small / declaredError,
		large: config.Small * declaredError,
	}
}

// Admit checks a new request against the limits of its workspace; queued is the number of the workspace's jobs that
// have not ended. Errors wrap ErrRate or ErrQueue.
func (r *Router) Admit(now time.Time, limits Limits, queued int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.admit(now, limits, queued)
}

// Observe learns from the end of a request that Pick placed. Every placed request must be observed once.
func (r *Router) Observe(now time.Time, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Outcome == Done && o.RunTime > 0 {
		r.estimates.learn(o.Workspace, o.Kind, o.RunTime)
		r.learnClass(o.RunTime)
	}
	l, ok := r.loads[o.Server]
	if !ok {
		return
	}
	delete(l.sent, o.Job)
	switch o.Outcome {
	case Done:
		l.succeed()
	case Failed, Lost:
		l.fail(now, o.Job)
	case Refused:
		// A refusal is an answer in time. It says nothing about whether work there would fail.
		if l.probe == o.Job {
			l.probe = ""
		}
	}
}

// Pick selects a server and counts the request as sent there. Errors wrap ErrNoServer (a NoServerError) or ErrDeadline.
func (r *Router) Pick(now time.Time, request Request, servers []Server) (Choice, error) {
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return Choice{}, fmt.Errorf("route job %s: %w", request.Job, ErrDeadline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	expected, high := r.estimates.of(request)
	choice := Choice{
		Large:    high > r.config.Small || high == 0,
		Estimate: expected,
	}
	if expected == 0 {
		choice.Estimate = r.large
	}
	var best *load
	var bestWait, bestWork time.Duration
	var bestRank uint64
	for i := range servers {
		server := &servers[i]
		l := r.load(now, server.ID)
		outstanding, large, work := r.outstanding(now, server, l)
		if reason := passOver(now, &request, server, l, outstanding, large, choice.Large); reason != "" {
			choice.Passed = append(choice.Passed, Passed{
				Server: server.ID,
				Reason: reason,
			})
			continue
		}
		travel := r.config.Distance(request.Zone, server.Zone)
		// A request starts at once in a free slot, however long the others on that server run.
		wait, rank := travel, hash(request.Job, server.ID)
		if outstanding >= server.Slots {
			wait += work / time.Duration(max(server.Slots, 1))
		}
		order := cmp.Or(cmp.Compare(wait, bestWait), cmp.Compare(work, bestWork), cmp.Compare(rank, bestRank))
		if best != nil && order >= 0 {
			continue
		}
		best, bestWait, bestWork, bestRank = l, wait, work, rank
		choice.Server, choice.Wait = server.ID, wait
	}
	if best == nil {
		return Choice{}, fmt.Errorf("route job %s: %w", request.Job, &NoServerError{
			Passed: choice.Passed,
		})
	}
	// Estimates may be wrong by the same factor as declared run times; a request that might make it is sent.
	if !request.Deadline.IsZero() && now.Add(choice.Wait/declaredError).After(request.Deadline) {
		return Choice{}, fmt.Errorf("route job %s: %w: expected wait %s", request.Job, ErrDeadline, choice.Wait)
	}
	best.place(now, &request, choice)
	return choice, nil
}

// learnClass updates the average run time of the class that a request turned out to be in.
func (r *Router) learnClass(runTime time.Duration) {
	average := &r.small
	if runTime > r.config.Small {
		average = &r.large
	}
	*average += time.Duration(estimateWeight * float64(runTime-*average))
}

func (r *Router) load(now time.Time, server string) *load {
	l, ok := r.loads[server]
	if !ok {
		l = &load{
			sent: map[string]sent{},
		}
		r.loads[server] = l
	}
	l.seen = now
	return l
}

// outstanding returns the numbers of all and of large requests at a server and their estimated work. Requests that
// this router sent after the announcement are added to the announced ones.
func (r *Router) outstanding(now time.Time, server *Server, l *load) (all, large int, work time.Duration) {
	var grown int
	for _, request := range l.sent {
		isLarge := request.large || now.Sub(request.at) > r.config.Small
		if isLarge && !request.large {
			grown++
		}
		if request.at.Before(server.Heard) {
			continue
		}
		all++
		work += request.estimate
		if isLarge {
			large++
		}
	}
	// Requests that outgrew their class were announced as small.
	announcedLarge := min(server.OutstandingLarge+grown, server.Outstanding)
	work += time.Duration(server.Outstanding-announcedLarge)*r.small + time.Duration(announcedLarge)*r.large
	return all + server.Outstanding, large + announcedLarge, work
}

// place counts a request as sent.
func (l *load) place(now time.Time, request *Request, choice Choice) {
	l.sent[request.Job] = sent{
		at:       now,
		estimate: choice.Estimate,
		large:    choice.Large,
	}
	if l.failures >= failureLimit {
		l.probe = request.Job
	}
}

// prune drops servers that are gone.
func (r *Router) prune(now time.Time) {
	if now.Sub(r.pruned) < forgetAfter {
		return
	}
	r.pruned = now
	for id, l := range r.loads {
		if now.Sub(l.seen) > forgetAfter {
			delete(r.loads, id)
		}
	}
}

// hash orders servers of equal cost differently for each job, so that several entries do not choose the same one. It
// is FNV-1a.
func hash(job, server string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, text := range []string{job, server} {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * prime
		}
	}
	return h
}

// largeSlots returns how many slots large requests may use: all but an eighth, and at least one.
func largeSlots(slots int) int {
	return max(slots-max(slots/smallShare, 1), 1)
}

// passOver returns why a server cannot take the request, or nothing.
func passOver(now time.Time, request *Request, server *Server, l *load, outstanding, large int, isLarge bool) Reason {
	connections := server.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	switch {
	case server.OutOfService:
		return ReasonOutOfService
	case server.Leaving:
		return ReasonLeaving
	case now.Sub(server.Heard) > silentAfter:
		return ReasonSilent
	case slices.Contains(request.Exclude, server.ID):
		return ReasonExcluded
	case l.failing(now, request.Idempotent):
		return ReasonFailing
	case outstanding >= connections:
		return ReasonFull
	case isLarge && large >= largeSlots(server.Slots):
		return ReasonLarge
	}
	return ""
}
