package replay

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"radishpath.example/radishpath/placement"
)

// sampleInterval is the simulated time between samples. Repacking the jobs for every call of Decide would dominate the
// run time of a replay.
const sampleInterval = 2 * time.Second

// Sample is the state of the cluster at one point in time.
type Sample struct {
	At time.Duration
	// BusyByZone counts the accelerators in use, CapacityByZone those of the workers in service.
	BusyByZone     map[string]int
	CapacityByZone map[string]int
	// WaitingJobs is the number of unfinished jobs that are not running.
	WaitingJobs int
	// LargestFree is the size of the largest free adjacent shape, in accelerators. LargestFreeRepacked is the same after
	// an offline packing of the running jobs.
	LargestFree         int
	LargestFreeRepacked int
}

func (r *simulation) takeSample(now time.Duration) {
	if now%sampleInterval != 0 {
		return
	}
	sample := Sample{
		At:             now,
		BusyByZone:     map[string]int{},
		CapacityByZone: map[string]int{},
		WaitingJobs:    r.unfinishedJobs - len(r.running),
	}
	freeMasks := map[string]uint64{}
	var workers []placement.Worker
	for _, w := range r.workers {
		if !r.zonesOutOfService[w.Zone] {
			sample.CapacityByZone[w.Zone] += w.Accelerators
			freeMasks[w.ID] = 1<<w.Accelerators - 1
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b placement.Worker) int { return cmp.Compare(a.ID, b.ID) })
	var jobs []placement.Job
	for _, record := range r.running {
		inService := true
		for _, m := range record.assignments {
			sample.BusyByZone[r.workers[m.Worker].Zone] += bits.OnesCount64(m.Accelerators)
			if _, ok := freeMasks[m.Worker]; !ok {
				inService = false
				continue
			}
			freeMasks[m.Worker] &^= m.Accelerators
		}
		if inService {
			jobs = append(jobs, record.Job.placement(record.ID))
		}
	}
	sample.LargestFree = largestFreeShape(workers, freeMasks)
	sample.LargestFreeRepacked = max(largestFreeAfterRepacking(workers, jobs), sample.LargestFree)
	r.outcome.Samples = append(r.outcome.Samples, sample)
}

// largestFreeAfterRepacking packs the jobs into empty workers, largest first with best fit, and returns the size of
// the largest free shape. It returns 0 if a job does not fit.
func largestFreeAfterRepacking(workers []placement.Worker, jobs []placement.Job) int {
	slices.SortFunc(jobs, func(a, b placement.Job) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(b.Members, a.Members),
			cmp.Compare(a.ID, b.ID))
	})
	b := NewShortestFirst()
	for _, w := range workers {
		b.SetWorker(time.Time{}, w)
	}
	for _, j := range jobs {
		if b.allocate(j) == nil {
			return 0
		}
	}
	return largestFreeShape(workers, b.freeMasks)
}

// largestFreeShape returns the size of the largest free adjacent shape: adjacent accelerators of one worker, or whole
// workers of a rack.
func largestFreeShape(workers []placement.Worker, freeMasks map[string]uint64) int {
	maxSize := 0
	freeByRack := map[string]int{}
	for _, w := range workers {
		for length := maxSize + 1; length <= w.Accelerators; length++ {
			if _, ok := firstAdjacent(freeMasks[w.ID], length); ok {
				maxSize = length
			}
		}
		if freeMasks[w.ID] == 1<<w.Accelerators-1 {
			freeByRack[w.Zone+"/"+w.Rack] += w.Accelerators
		}
	}
	for _, size := range freeByRack {
		maxSize = max(maxSize, size)
	}
	return maxSize
}
