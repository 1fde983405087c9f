package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// executorDiscoveryTime is how long after a takeover executors may still be unknown to the new scheduler.
const executorDiscoveryTime = 10 * time.Second

// absentExecutorTime is how long an executor's size still counts after the executor has left or become unreachable. A
// lost zone or region stays away for minutes, and a job that fits only there waits for it. After that time the executor
// counts as gone for good.
const absentExecutorTime = 10 * time.Minute

// Capacities returns the distinct executor sizes of each service, which entries use to reject a job at once if it fits
// no executor. An executor counts with the most that its incarnation has shown, since a capacity that has shrunk may
// grow again. Without a predecessor's sizes, nil is returned until every executor has had time to report.
func (p *Planner) Capacities(now Instant) []*cellpb.Capacity {
	if len(p.inheritedCapacities) == 0 && now.BootTime-p.tookOverAt < executorDiscoveryTime {
		return nil
	}
	distinct := map[executorSize]bool{}
	if now.BootTime-p.tookOverAt < absentExecutorTime {
		for _, capacity := range p.inheritedCapacities {
			distinct[sizeOf(capacity)] = true
		}
	}
	for _, e := range p.executors {
		if e.state != nil && now.BootTime-e.answeredAt < absentExecutorTime {
			distinct[executorSize{
				service:  e.state.GetService(),
				capacity: e.largest,
			}] = true
		}
	}
	sorted := slices.SortedFunc(maps.Keys(distinct), func(x, y executorSize) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.capacity.Accelerators, y.capacity.Accelerators),
			cmp.Compare(x.capacity.CPUMillis, y.capacity.CPUMillis), cmp.Compare(x.capacity.MemoryMB, y.capacity.MemoryMB))
	})
	capacities := make([]*cellpb.Capacity, 0, len(sorted))
	for _, s := range sorted {
		capacities = append(capacities, &cellpb.Capacity{
			Service:      s.service,
			Cpu:          s.capacity.CPUMillis,
			MemoryMb:     s.capacity.MemoryMB,
			Accelerators: s.capacity.Accelerators,
		})
	}
	return capacities
}

// InheritCapacities sets the sizes that the predecessor published. They count for absentExecutorTime, because executors
// that have shrunk or can't be reached during the takeover may be as large again.
func (p *Planner) InheritCapacities(capacities []*cellpb.Capacity) {
	p.inheritedCapacities = capacities
}

// executorSize is the size of some executors of a service.
type executorSize struct {
	service  string
	capacity cell.Capacity
}

func sizeOf(capacity *cellpb.Capacity) executorSize {
	return executorSize{
		service: capacity.GetService(),
		capacity: cell.Capacity{
			CPUMillis:    capacity.GetCpu(),
			MemoryMB:     capacity.GetMemoryMb(),
			Accelerators: capacity.GetAccelerators(),
		},
	}
}
