package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"radishpath.example/radishpath/routing"
)

// Sizes of the deployments in docs/design.md section 1, and of the load.
const (
	requestServers = 11
	requestSlots   = 8
	smallTime      = 20 * time.Millisecond
	largeTime      = 4 * time.Second
	// smallGap and largeGap are the mean times between arrivals: large requests alone keep half of the 88 slots busy.
	smallGap = 5 * time.Millisecond
	largeGap = 90 * time.Millisecond
	// A hotel's costings arrive together: costings large requests at costingsAt, more than all slots.
	costingsAt = 20 * time.Second
	costings   = 120
	// requestsEnd is when the last request arrives.
	requestsEnd = 60 * time.Second
	// declaredFactor is how far off declared run times are, in both directions.
	declaredFactor = 10
	retryGap       = 25 * time.Millisecond
)

// Policy chooses a server for a request, or none. Servers queue what exceeds their slots.
type Policy func(now time.Time, request *SimulatedRequest, servers []routing.Server) (server int, large, ok bool)

// SimulatedRequest is one request of the recorded arrival pattern.
type SimulatedRequest struct {
	ID       string
	Small    bool
	Arrived  time.Time
	Run      time.Duration
	Declared time.Duration

	server  int
	large   bool
	started time.Time
}

// Requests draws the arrivals of a seed: small quotes over large costings, with a burst of large ones.
func Requests(seed uint64) []*SimulatedRequest {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a reproducible sample is wanted.
	begin := time.Unix(0, 0).UTC()
	var all []*SimulatedRequest
	add := func(at, run time.Duration, small bool) {
		declared := run * declaredFactor
		if random.IntN(2) == 0 {
			declared = run / declaredFactor
		}
		all = append(all, &SimulatedRequest{
			ID:       fmt.Sprintf("r%d", len(all)),
			Small:    small,
			Arrived:  begin.Add(at),
			Run:      run,
			Declared: declared,
		})
	}
	arrive := func(gap, run time.Duration, small bool) {
		for at := time.Duration(0); at < requestsEnd; at += time.Duration(random.ExpFloat64() * float64(gap)) {
			add(at, time.Duration((0.5+random.Float64())*float64(run)), small)
		}
	}
	arrive(smallGap, smallTime, true)
	arrive(largeGap, largeTime, false)
	for range costings {
		add(costingsAt, largeTime, false)
	}
	slices.SortStableFunc(all, func(a, b *SimulatedRequest) int { return a.Arrived.Compare(b.Arrived) })
	return all
}

// RequestMeasures are the times of a run of the arrival pattern.
type RequestMeasures struct {
	// Small is the 99th percentile of small requests' time over their run time, outside the burst.
	Small float64
	// Burst is the 99th percentile of small requests' time in the 10 s after the burst, Large the 95th percentile of
	// the large requests' time, both in seconds.
	Burst float64
	Large float64
}

// RunRequests runs the arrivals under a policy. done is told of every end, with the time.
func RunRequests(
	arrivals []*SimulatedRequest, choose Policy, done func(now time.Time, request *SimulatedRequest),
) RequestMeasures {
	s := &requestRun{
		choose: choose,
		done:   done,
		slots:  make([]requestQueue, requestServers),
	}
	for _, arrival := range arrivals {
		copied := *arrival
		s.push(copied.Arrived, s.arrive(&copied))
	}
	for len(s.events) > 0 {
		next, _ := heap.Pop(&s.events).(requestEvent)
		next.run(next.at)
	}
	return s.measure(arrivals[0].Arrived.Add(costingsAt))
}

// requestQueue is a backend server with its queue. Large requests leave one slot free, as agents enforce.
type requestQueue struct {
	running      int
	runningLarge int
	waiting      []*SimulatedRequest
}

type requestRun struct {
	choose Policy
	done   func(now time.Time, request *SimulatedRequest)
	events requestEvents
	order  int
	slots  []requestQueue
	ended  []endedRequest
}

type endedRequest struct {
	request *SimulatedRequest
	took    time.Duration
}

func (s *requestRun) push(at time.Time, run func(now time.Time)) {
	s.order++
	heap.Push(&s.events, requestEvent{
		at:    at,
		order: s.order,
		run:   run,
	})
}

// arrive tries to send a request and tries again later while no server takes it.
func (s *requestRun) arrive(request *SimulatedRequest) func(time.Time) {
	return func(now time.Time) {
		server, large, ok := s.choose(now, request, s.servers(now))
		if !ok {
			s.push(now.Add(retryGap), s.arrive(request))
			return
		}
		request.server, request.large = server, large
		s.slots[server].waiting = append(s.slots[server].waiting, request)
		s.serve(now, server)
	}
}

// serve starts what the server's slots allow, in the order of arrival.
func (s *requestRun) serve(now time.Time, server int) {
	queue := &s.slots[server]
	rest := queue.waiting[:0]
	for _, request := range queue.waiting {
		if queue.running >= requestSlots || (request.large && queue.runningLarge >= requestSlots-1) {
			rest = append(rest, request)
			continue
		}
		queue.running++
		if request.large {
			queue.runningLarge++
		}
		request.started = now
		s.push(now.Add(request.Run), func(now time.Time) { s.end(now, request) })
	}
	queue.waiting = rest
}

func (s *requestRun) end(now time.Time, request *SimulatedRequest) {
	queue := &s.slots[request.server]
	queue.running--
	if request.large {
		queue.runningLarge--
	}
	s.ended = append(s.ended, endedRequest{
		request: request,
		took:    now.Sub(request.Arrived),
	})
	s.done(now, request)
	s.serve(now, request.server)
}

func (s *requestRun) servers(now time.Time) []routing.Server {
	servers := make([]routing.Server, len(s.slots))
	for i, queue := range s.slots {
		large := queue.runningLarge
		for _, request := range queue.waiting {
			if request.large {
				large++
			}
		}
		servers[i] = routing.Server{
			ID:               fmt.Sprintf("s%d", i),
			Slots:            requestSlots,
			Outstanding:      queue.running + len(queue.waiting),
			OutstandingLarge: large,
			LastAnnounced:    now,
		}
	}
	return servers
}

func (s *requestRun) measure(burst time.Time) RequestMeasures {
	var small, inBurst, large []float64
	for _, ended := range s.ended {
		switch after := ended.request.Arrived.Sub(burst); {
		case !ended.request.Small:
			large = append(large, ended.took.Seconds())
		case after >= 0 && after < 10*time.Second:
			inBurst = append(inBurst, ended.took.Seconds())
		case after < 0:
			small = append(small, float64(ended.took)/float64(ended.request.Run))
		}
	}
	return RequestMeasures{
		Small: quantile(small, 0.99),
		Burst: quantile(inBurst, 0.99),
		Large: quantile(large, 0.95),
	}
}

// quantile returns the value below which that part of the values lies.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

type requestEvent struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// requestEvents is a heap by time, then by order.
type requestEvents []requestEvent

// Len implements heap.Interface.
func (e requestEvents) Len() int { return len(e) }

// Less implements heap.Interface.
func (e requestEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

// Pop implements heap.Interface.
func (e *requestEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Push implements heap.Interface.
func (e *requestEvents) Push(event any) {
	if pushed, ok := event.(requestEvent); ok {
		*e = append(*e, pushed)
	}
}

// Swap implements heap.Interface.
func (e requestEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
