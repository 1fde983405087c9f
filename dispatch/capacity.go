package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

// executorDiscoveryTime is how long after a takeover executors may still be unknown to the new scheduler.
const executorDiscoveryTime = 10 * time.Second

// Capacities returns the distinct executor sizes of each service, or nil until every executor has had time to report.
// Entries use them to reject a job at once if it fits no executor.
func (p *Planner) Capacities(now Instant) []*cellpb.Capacity {
	if now.BootTime-p.tookOverAt < executorDiscoveryTime {
		return nil
	}
	type size struct {
		service   string
		resources resources
	}
	distinct := map[size]bool{}
	for _, e := range p.executors {
		if e.state != nil {
			distinct[size{service: e.state.GetService(), resources: e.capacity()}] = true
		}
	}
	sorted := slices.SortedFunc(maps.Keys(distinct), func(x, y size) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.resources.accelerators, y.resources.accelerators),
			cmp.Compare(x.resources.cpuMillis, y.resources.cpuMillis), cmp.Compare(x.resources.memoryMB, y.resources.memoryMB))
	})
	capacities := make([]*cellpb.Capacity, 0, len(sorted))
	for _, s := range sorted {
		capacities = append(capacities, &cellpb.Capacity{
			Service:      s.service,
			Cpu:          s.resources.cpuMillis,
			MemoryMb:     s.resources.memoryMB,
			Accelerators: s.resources.accelerators,
		})
	}
	return capacities
}
