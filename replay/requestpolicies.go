package replay

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/routing"
)

// RouteRequests runs the arrivals with the real router.
func RouteRequests(arrivals []*SimulatedRequest) RequestMeasures {
	router := routing.New(routing.Config{})
	index := map[string]int{}
	for i := range requestServers {
		index[fmt.Sprintf("s%d", i)] = i
	}
	choose := func(now time.Time, request *SimulatedRequest, servers []routing.Server) (int, bool, bool) {
		choice, err := router.Pick(now, routing.Request{
			JobID:           request.ID,
			Workspace:       "weddings",
			Kind:            request.kind(),
			Idempotent:      true,
			DeclaredRunTime: request.Declared,
		}, servers)
		return index[choice.ServerID], choice.Large, err == nil
	}
	return RunRequests(arrivals, choose, func(now time.Time, request *SimulatedRequest) {
		router.Observe(now, routing.Observation{
			ServerID:  fmt.Sprintf("s%d", request.server),
			JobID:     request.ID,
			Workspace: "weddings",
			Kind:      request.kind(),
			RunTime:   now.Sub(request.started),
		})
	})
}

// FIFORequests keeps one queue in the order of arrival and sends its head to the first free slot.
func FIFORequests(arrivals []*SimulatedRequest) RequestMeasures {
	position := map[string]int{}
	for i, arrival := range arrivals {
		position[arrival.ID] = i
	}
	next := 0
	choose := func(_ time.Time, request *SimulatedRequest, servers []routing.Server) (int, bool, bool) {
		if position[request.ID] != next {
			return 0, false, false
		}
		for i, server := range servers {
			if server.Outstanding < server.Slots {
				next++
				return i, false, true
			}
		}
		return 0, false, false
	}
	return RunRequests(arrivals, choose, func(time.Time, *SimulatedRequest) {})
}

// RoundRobinRequests sends the requests to the servers in turn, which queue them.
func RoundRobinRequests(arrivals []*SimulatedRequest) RequestMeasures {
	next := 0
	choose := func(time.Time, *SimulatedRequest, []routing.Server) (int, bool, bool) {
		next = (next + 1) % requestServers
		return next, false, true
	}
	return RunRequests(arrivals, choose, func(time.Time, *SimulatedRequest) {})
}

func (r *SimulatedRequest) kind() string {
	if r.Small {
		return "quote"
	}
	return "costing"
}
