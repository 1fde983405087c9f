package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"radishpath.example/radishpath/routing"
)

// Size of the simulated deployment, which follows docs/design.md section 1, and its load.
const (
	serverCount    = 11
	slotsPerServer = 8
	smallRunTime   = 20 * time.Millisecond
	largeRunTime   = 4 * time.Second
	// smallInterarrival and largeInterarrival are mean interarrival times. The large requests alone keep half of the 88
	// slots busy.
	smallInterarrival = 5 * time.Millisecond
	largeInterarrival = 90 * time.Millisecond
	// A hotel requests many costings at once: largeBurstSize large requests, more than there are slots.
	largeBurstAt   = 20 * time.Second
	largeBurstSize = 120
	// requestArrivalsEnd is when the arrivals stop.
	requestArrivalsEnd = 60 * time.Second
	// declaredErrorFactor is the factor by which declared run times are wrong, in either direction.
	declaredErrorFactor = 10
	retryInterval       = 25 * time.Millisecond
)

// BalancingPolicy selects a server for a request and reports whether the request is large. ok is false if no server is
// selected. Servers queue the requests that exceed their slots.
type BalancingPolicy func(
	now time.Time, request *SimulatedRequest, servers []routing.Server,
) (server int, large, ok bool)

// SimulatedRequest is one request of a generated arrival pattern.
type SimulatedRequest struct {
	ID              string
	Small           bool
	ArrivedAt       time.Time
	RunTime         time.Duration
	DeclaredRunTime time.Duration

	serverIndex int
	large       bool
	startedAt   time.Time
}

// GenerateRequests generates the arrivals for a seed: small quotes and large costings, with a burst of large requests.
func GenerateRequests(seed uint64) []*SimulatedRequest {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a reproducible sample is wanted.
	startTime := time.Unix(0, 0).UTC()
	var requests []*SimulatedRequest
	addRequest := func(at, runTime time.Duration, small bool) {
		declared := runTime * declaredErrorFactor
		if random.IntN(2) == 0 {
			declared = runTime / declaredErrorFactor
		}
		requests = append(requests, &SimulatedRequest{
			ID:              fmt.Sprintf("r%d", len(requests)),
			Small:           small,
			ArrivedAt:       startTime.Add(at),
			RunTime:         runTime,
			DeclaredRunTime: declared,
		})
	}
	addArrivals := func(meanGap, runTime time.Duration, small bool) {
		for at := time.Duration(0); at < requestArrivalsEnd; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
			addRequest(at, time.Duration((0.5+random.Float64())*float64(runTime)), small)
		}
	}
	addArrivals(smallInterarrival, smallRunTime, true)
	addArrivals(largeInterarrival, largeRunTime, false)
	for range largeBurstSize {
		addRequest(largeBurstAt, largeRunTime, false)
	}
	slices.SortStableFunc(requests, func(a, b *SimulatedRequest) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	return requests
}

// RequestMetrics are the latencies of a simulation, from arrival to completion.
type RequestMetrics struct {
	// Small is the 99th percentile of latency divided by run time of the small requests before the burst.
	Small float64
	// SmallBurstLatency is the 99th percentile of the latency of the small requests that arrive in the 10 s after the
	// burst. LargeLatency is the 95th percentile of the latency of the large requests. Both are in seconds.
	SmallBurstLatency float64
	LargeLatency      float64
}

// SimulateRequests simulates the arrivals under a policy. It calls done at the end of every request.
func SimulateRequests(
	arrivals []*SimulatedRequest, choose BalancingPolicy, done func(now time.Time, request *SimulatedRequest),
) RequestMetrics {
	s := &requestSimulation{
		choose:  choose,
		done:    done,
		servers: make([]simulatedServer, serverCount),
	}
	for _, arrival := range arrivals {
		copied := *arrival
		s.schedule(copied.ArrivedAt, s.handleArrival(&copied))
	}
	for len(s.events) > 0 {
		event, _ := heap.Pop(&s.events).(requestEvent)
		event.handle(event.at)
	}
	return s.measure(arrivals[0].ArrivedAt.Add(largeBurstAt))
}

// simulatedServer is a backend server with its queue. It keeps one slot free of large requests, as agents do.
type simulatedServer struct {
	running      int
	runningLarge int
	queue        []*SimulatedRequest
}

type requestSimulation struct {
	choose    BalancingPolicy
	done      func(now time.Time, request *SimulatedRequest)
	events    requestEventQueue
	sequence  int
	servers   []simulatedServer
	completed []completedRequest
}

type completedRequest struct {
	request *SimulatedRequest
	latency time.Duration
}

func (s *requestSimulation) schedule(at time.Time, handle func(now time.Time)) {
	s.sequence++
	heap.Push(&s.events, requestEvent{
		at:       at,
		sequence: s.sequence,
		handle:   handle,
	})
}

// handleArrival sends a request to the selected server, or retries after retryInterval if no server is selected.
func (s *requestSimulation) handleArrival(request *SimulatedRequest) func(time.Time) {
	return func(now time.Time) {
		serverIndex, large, ok := s.choose(now, request, s.announcedServers(now))
		if !ok {
			s.schedule(now.Add(retryInterval), s.handleArrival(request))
			return
		}
		request.serverIndex, request.large = serverIndex, large
		s.servers[serverIndex].queue = append(s.servers[serverIndex].queue, request)
		s.startQueued(now, serverIndex)
	}
}

// startQueued starts queued requests in the order of arrival, as far as the server's slots permit.
func (s *requestSimulation) startQueued(now time.Time, serverIndex int) {
	server := &s.servers[serverIndex]
	remaining := server.queue[:0]
	for _, request := range server.queue {
		if server.running >= slotsPerServer || (request.large && server.runningLarge >= slotsPerServer-1) {
			remaining = append(remaining, request)
			continue
		}
		server.running++
		if request.large {
			server.runningLarge++
		}
		request.startedAt = now
		s.schedule(now.Add(request.RunTime), func(now time.Time) { s.completeRequest(now, request) })
	}
	server.queue = remaining
}

func (s *requestSimulation) completeRequest(now time.Time, request *SimulatedRequest) {
	server := &s.servers[request.serverIndex]
	server.running--
	if request.large {
		server.runningLarge--
	}
	s.completed = append(s.completed, completedRequest{
		request: request,
		latency: now.Sub(request.ArrivedAt),
	})
	s.done(now, request)
	s.startQueued(now, request.serverIndex)
}

func (s *requestSimulation) announcedServers(now time.Time) []routing.Server {
	announcedServers := make([]routing.Server, len(s.servers))
	for i, server := range s.servers {
		large := server.runningLarge
		for _, request := range server.queue {
			if request.large {
				large++
			}
		}
		announcedServers[i] = routing.Server{
			ID:               fmt.Sprintf("s%d", i),
			Slots:            slotsPerServer,
			Outstanding:      server.running + len(server.queue),
			OutstandingLarge: large,
			LastAnnounced:    now,
		}
	}
	return announcedServers
}

func (s *requestSimulation) measure(burstStart time.Time) RequestMetrics {
	var small, smallInBurst, large []float64
	for _, completed := range s.completed {
		switch sinceBurst := completed.request.ArrivedAt.Sub(burstStart); {
		case !completed.request.Small:
			large = append(large, completed.latency.Seconds())
		case sinceBurst >= 0 && sinceBurst < 10*time.Second:
			smallInBurst = append(smallInBurst, completed.latency.Seconds())
		case sinceBurst < 0:
			small = append(small, float64(completed.latency)/float64(completed.request.RunTime))
		}
	}
	return RequestMetrics{
		Small:             quantile(small, 0.99),
		SmallBurstLatency: quantile(smallInBurst, 0.99),
		LargeLatency:      quantile(large, 0.95),
	}
}

// quantile returns the value at the given fraction of the sorted values. It sorts values in place.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(fraction*float64(len(values))), len(values)-1)]
}

type requestEvent struct {
	at       time.Time
	sequence int
	handle   func(now time.Time)
}

// requestEventQueue is a heap ordered by time, then by sequence.
type requestEventQueue []requestEvent

// Len implements heap.Interface.
func (e requestEventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e requestEventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Pop implements heap.Interface.
func (e *requestEventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Push implements heap.Interface.
func (e *requestEventQueue) Push(event any) {
	if pushed, ok := event.(requestEvent); ok {
		*e = append(*e, pushed)
	}
}

// Swap implements heap.Interface.
func (e requestEventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
