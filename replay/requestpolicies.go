package replay

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/routing"
)

// SimulateRouter simulates the arrivals with routing.Router.
func SimulateRouter(arrivals []*SimulatedRequest) RequestMetrics {
	router := routing.New(routing.Config{})
	serverIndexes := map[string]int{}
	for i := range serverCount {
		serverIndexes[fmt.Sprintf("s%d", i)] = i
	}
	choose := func(now time.Time, request *SimulatedRequest, servers []routing.Server) (int, bool, bool) {
		choice, err := router.Pick(now, routing.Request{
			JobID:           request.ID,
			Workspace:       "weddings",
			Kind:            request.kind(),
			Idempotent:      true,
			DeclaredRunTime: request.DeclaredRunTime,
		}, servers)
		return serverIndexes[choice.Server], choice.Large, err == nil
	}
	return SimulateRequests(arrivals, choose, func(now time.Time, request *SimulatedRequest) {
		router.Observe(now, routing.Observation{
			Server:    fmt.Sprintf("s%d", request.serverIndex),
			JobID:     request.ID,
			Workspace: "weddings",
			Kind:      request.kind(),
			RunTime:   now.Sub(request.startedAt),
		})
	})
}

// SimulateFIFO simulates a single queue in the order of arrival, whose head goes to the first server with a free slot.
func SimulateFIFO(arrivals []*SimulatedRequest) RequestMetrics {
	arrivalIndexes := map[string]int{}
	for i, arrival := range arrivals {
		arrivalIndexes[arrival.ID] = i
	}
	nextArrival := 0
	choose := func(_ time.Time, request *SimulatedRequest, servers []routing.Server) (int, bool, bool) {
		if arrivalIndexes[request.ID] != nextArrival {
			return 0, false, false
		}
		for i, server := range servers {
			if server.Outstanding < server.Slots {
				nextArrival++
				return i, false, true
			}
		}
		return 0, false, false
	}
	return SimulateRequests(arrivals, choose, func(time.Time, *SimulatedRequest) {})
}

// SimulateRoundRobin simulates servers that receive the requests in turn and queue them.
func SimulateRoundRobin(arrivals []*SimulatedRequest) RequestMetrics {
	lastServer := 0
	choose := func(time.Time, *SimulatedRequest, []routing.Server) (int, bool, bool) {
		lastServer = (lastServer + 1) % serverCount
		return lastServer, false, true
	}
	return SimulateRequests(arrivals, choose, func(time.Time, *SimulatedRequest) {})
}

func (r *SimulatedRequest) kind() string {
	if r.Small {
		return "quote"
	}
	return "costing"
}
