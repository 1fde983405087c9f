package gateway

import (
	"fmt"

	"radishpath.example/radishpath/cell/cellpb"
)

// unschedulableReason returns why no executor of a service is large enough for the job's tasks, or "" if one may be.
// It returns "" as long as the scheduler has published no capacities for the service.
func unschedulableReason(capacities []*cellpb.Capacity, service string, job *cellpb.Job) string {
	var serviceCapacities []*cellpb.Capacity
	for _, capacity := range capacities {
		if capacity.GetService() == service {
			serviceCapacities = append(serviceCapacities, capacity)
		}
	}
	if len(serviceCapacities) == 0 {
		return ""
	}
	for stepIndex, step := range job.GetSteps() {
		if !fitsAnyExecutor(serviceCapacities, step) {
			return fmt.Sprintf("step %d: no executor of %s has %d accelerators, %d thousandths of a core and %d MB for a task",
				stepIndex, service, step.GetAccelerators(), step.GetCpu(), step.GetMemoryMb())
		}
	}
	return ""
}

func fitsAnyExecutor(capacities []*cellpb.Capacity, step *cellpb.Step) bool {
	for _, capacity := range capacities {
		// The CPU of a task with fills set isn't charged to the executor.
		cpuFits := capacity.GetCpu() >= step.GetCpu() || step.GetFills()
		if cpuFits && capacity.GetMemoryMb() >= step.GetMemoryMb() && capacity.GetAccelerators() >= step.GetAccelerators() {
			return true
		}
	}
	return false
}
