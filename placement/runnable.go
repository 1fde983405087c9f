package placement

import (
	"errors"
	"fmt"
	"time"
)

// ErrNeverRuns marks a job that can never run in this cell.
var ErrNeverRuns = errors.New("job can never run")

// check reports shapes that make no sense anywhere.
func (j Job) check() error {
	switch {
	case j.ID == "":
		return fmt.Errorf("%w: it has no id", ErrNeverRuns)
	case j.Members < 1:
		return fmt.Errorf("%w: %d members: ask for at least 1", ErrNeverRuns, j.Members)
	case j.Accelerators < 0 || j.Cores < 0 || j.Memory < 0:
		return fmt.Errorf("%w: accelerators, cores and memory must not be negative", ErrNeverRuns)
	}
	return nil
}

// runnable reports whether the empty cell could run the job. Zones out of service and workers that were removed a
// short while ago count, because they may return.
func (s *Scheduler) runnable(now time.Time, j Job) error {
	workers := s.cell.known(now, s.config.Memory)
	if err := largestMember(workers, j); err != nil {
		return err
	}
	if best := mostMembers(workers, j); best < j.Members {
		return fmt.Errorf("%w: %d members of %d accelerators, %d cores and %d bytes in one %s: at most %d fit: "+
			"ask for fewer members or a wider scope", ErrNeverRuns, j.Members, j.Accelerators, j.Cores, j.Memory,
			j.Scope, best)
	}
	if j.evictable() {
		return nil
	}
	return s.guaranteeHolds(workers, j)
}

// largestMember checks one member against every worker.
func largestMember(workers []Worker, j Job) error {
	accelerators, cores, memory := 0, 0, int64(0)
	for _, w := range workers {
		if w.members(j) > 0 {
			return nil
		}
		accelerators = max(accelerators, w.Accelerators)
		cores = max(cores, w.Cores)
		memory = max(memory, w.Memory)
	}
	return fmt.Errorf("%w: no worker holds a member of %d accelerators, %d cores and %d bytes: ask for at most "+
		"%d accelerators, %d cores and %d bytes per member, the most that workers have", ErrNeverRuns, j.Accelerators,
		j.Cores, j.Memory, accelerators, cores, memory)
}

// members returns how many members an empty worker holds.
func (w Worker) members(j Job) int {
	r := room{
		open:   true,
		mask:   span(w.Accelerators),
		cores:  w.Cores,
		memory: w.Memory,
	}
	return r.fit(&want{
		cores:  j.Cores,
		memory: j.Memory,
	}, j.Accelerators, j.Members)
}

// mostMembers returns how many members the best part of the empty cell holds.
func mostMembers(workers []Worker, j Job) int {
	type place struct{ zone, rack, worker string }
	sums := map[place]int{}
	most := 0
	for _, w := range workers {
		var at place
		switch j.Scope {
		case ScopeWorker:
			at.worker = w.ID
		case ScopeRack:
			at.zone, at.rack = w.Zone, w.Rack
		case ScopeZone:
			at.zone = w.Zone
		case ScopeAny:
		}
		sums[at] += w.members(j)
		most = max(most, sums[at])
	}
	return most
}

// guaranteeHolds checks a job that must not be evicted against its workspace's guarantee, outside of which it never
// runs.
func (s *Scheduler) guaranteeHolds(workers []Worker, j Job) error {
	charge := maxAccelerators + 1
	for _, w := range workers {
		n := node{
			Worker: w,
		}
		charge = min(charge, n.charge(j))
	}
	total := 0
	for _, shape := range s.space(j.Workspace).Guarantees {
		held := shape.members(j.Scope, charge)
		if held >= j.Members {
			return nil
		}
		total += held
	}
	if j.Scope == ScopeAny && total >= j.Members {
		return nil
	}
	return fmt.Errorf("%w: it is neither idempotent nor checkpointable, so it runs only within the guarantee of "+
		"workspace %q, and no guaranteed shape holds %s (%d accelerators' part per member): mark it idempotent, let it "+
		"checkpoint, or raise the guarantee", ErrNeverRuns, j.Workspace, j.shape(), charge)
}

// members returns how many members with the charge a shape holds within a scope.
func (s Shape) members(scope Scope, charge int) int {
	perCell := s.Accelerators / charge
	if scope == ScopeWorker && s.Scope != ScopeWorker {
		return perCell
	}
	if scope != ScopeAny && (s.Scope == ScopeAny || s.Scope > scope) && s.Members > 1 {
		return perCell
	}
	return perCell * s.Members
}

// obstacles says why a queued job does not start.
func (s *Scheduler) obstacles(e *entry) []string {
	free, all, longest := 0, 0, 0
	for _, n := range s.cell.nodes {
		if !n.inService() {
			continue
		}
		open := n.free &^ n.claimed
		free += popcount(open)
		all += n.Accelerators
		for longest < n.Accelerators && starts(open, longest+1) != 0 {
			longest++
		}
	}
	reasons := []string{
		fmt.Sprintf("needs %s; %d of %d accelerators in service are free, at most %d adjacent", e.job.shape(), free, all,
			longest),
	}
	if !e.job.evictable() {
		reasons = append(reasons, "neither idempotent nor checkpointable, waits for the guarantee of "+e.space.Name)
	}
	if r := &s.reservation; r.entry != nil && r.entry != e {
		reasons = append(reasons, "must end before the reservation of "+r.entry.job.ID+" or stay clear of its place")
	}
	for _, u := range e.space.units {
		if !u.placed() {
			reasons = append(reasons, fmt.Sprintf("guarantee %s has no place on the workers in service", u.shape))
		}
	}
	return append(reasons, e.reasons...)
}
