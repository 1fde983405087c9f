package replay

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"radishpath.example/radishpath/placement"
)

// sampleEvery is the distance between samples; an offline packing per tick would dominate the replay.
const sampleEvery = 2 * time.Second

// Sample is the state of the cell at one moment.
type Sample struct {
	At time.Duration
	// Busy counts accelerators in use per zone; Open those of workers in service.
	Busy map[string]int
	Open map[string]int
	// Waiting counts jobs that do not run.
	Waiting int
	// Largest is the largest adjacent free shape, in accelerators; Offline is the same after packing the running jobs
	// anew.
	Largest int
	Offline int
}

func (r *runner) sample(now time.Duration) {
	if now%sampleEvery != 0 {
		return
	}
	s := Sample{
		At:      now,
		Busy:    map[string]int{},
		Open:    map[string]int{},
		Waiting: r.live - len(r.running),
	}
	free := map[string]uint64{}
	var workers []placement.Worker
	for _, w := range r.workers {
		if !r.zones[w.Zone] {
			s.Open[w.Zone] += w.Accelerators
			free[w.ID] = 1<<w.Accelerators - 1
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b placement.Worker) int { return cmp.Compare(a.ID, b.ID) })
	var jobs []placement.Job
	for _, record := range r.running {
		inside := true
		for _, m := range record.members {
			s.Busy[r.workers[m.Worker].Zone] += bits.OnesCount64(m.Accelerators)
			if _, ok := free[m.Worker]; !ok {
				inside = false
				continue
			}
			free[m.Worker] &^= m.Accelerators
		}
		if inside {
			jobs = append(jobs, record.Job.placement(record.ID))
		}
	}
	s.Largest = largest(workers, free)
	s.Offline = max(offline(workers, jobs), s.Largest)
	r.out.Samples = append(r.out.Samples, s)
}

// offline packs jobs into empty workers, the largest first, with best fit.
func offline(workers []placement.Worker, jobs []placement.Job) int {
	slices.SortFunc(jobs, func(a, b placement.Job) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(b.Members, a.Members),
			cmp.Compare(a.ID, b.ID))
	})
	b := NewShortest()
	for _, w := range workers {
		b.SetWorker(time.Time{}, w)
	}
	for _, j := range jobs {
		if b.place(j) == nil {
			return 0
		}
	}
	return largest(workers, b.free)
}

// largest returns the size of the largest adjacent free shape: a run in a worker, or whole workers of a rack.
func largest(workers []placement.Worker, free map[string]uint64) int {
	most := 0
	racks := map[string]int{}
	for _, w := range workers {
		for length := most + 1; length <= w.Accelerators; length++ {
			if _, ok := firstRun(free[w.ID], length); ok {
				most = length
			}
		}
		if free[w.ID] == 1<<w.Accelerators-1 {
			racks[w.Zone+"/"+w.Rack] += w.Accelerators
		}
	}
	for _, size := range racks {
		most = max(most, size)
	}
	return most
}
