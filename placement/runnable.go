package placement

import (
	"errors"
	"fmt"
	"time"
)

// ErrNeverRuns is returned for a job that can never run in this cell.
var ErrNeverRuns = errors.New("job can never run")

// validate returns an error if the job is invalid in any cell.
func (j Job) validate() error {
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

// checkRunnable returns an error if the job could not run in the empty cell. Zones out of service and recently removed
// workers count, because they may return.
func (s *Scheduler) checkRunnable(now time.Time, j Job) error {
	workers := s.cell.knownWorkers(now, s.config.Memory)
	if err := checkMemberSize(workers, j); err != nil {
		return err
	}
	if most := maxMembersInScope(workers, j); most < j.Members {
		return fmt.Errorf("%w: %d members of %d accelerators, %d cores and %d bytes in one %s: at most %d fit: "+
			"ask for fewer members or a wider scope", ErrNeverRuns, j.Members, j.Accelerators, j.Cores, j.Memory,
			j.Scope, most)
	}
	if j.evictable() {
		return nil
	}
	return s.checkGuarantee(workers, j)
}

// checkMemberSize returns an error if no worker can hold one member.
func checkMemberSize(workers []Worker, j Job) error {
	accelerators, cores, memory := 0, 0, int64(0)
	for _, w := range workers {
		if w.memberCapacity(j) > 0 {
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

// memberCapacity returns how many members an empty worker holds.
func (w Worker) memberCapacity(j Job) int {
	capacity := nodeCapacity{
		schedulable: true,
		mask:        lowMask(w.Accelerators),
		cores:       w.Cores,
		memory:      w.Memory,
	}
	return capacity.memberCount(&request{
		cores:  j.Cores,
		memory: j.Memory,
	}, j.Accelerators, j.Members)
}

// maxMembersInScope returns how many members fit in the best topology domain of the empty cell.
func maxMembersInScope(workers []Worker, j Job) int {
	type domainKey struct{ zone, rack, worker string }
	membersByDomain := map[domainKey]int{}
	highest := 0
	for _, w := range workers {
		var key domainKey
		switch j.Scope {
		case ScopeWorker:
			key.worker = w.ID
		case ScopeRack:
			key.zone, key.rack = w.Zone, w.Rack
		case ScopeZone:
			key.zone = w.Zone
		case ScopeAny:
		}
		membersByDomain[key] += w.memberCapacity(j)
		highest = max(highest, membersByDomain[key])
	}
	return highest
}

// checkGuarantee checks a job that must not be evicted against the guarantee of its workspace, because such a job
// never runs outside it.
func (s *Scheduler) checkGuarantee(workers []Worker, j Job) error {
	charge := maxAccelerators + 1
	for _, w := range workers {
		n := node{
			Worker: w,
		}
		charge = min(charge, n.charge(j))
	}
	total := 0
	for _, shape := range s.workspace(j.Workspace).Guarantees {
		count := shape.memberCapacity(j.Scope, charge)
		if count >= j.Members {
			return nil
		}
		total += count
	}
	if j.Scope == ScopeAny && total >= j.Members {
		return nil
	}
	return fmt.Errorf("%w: it is neither idempotent nor checkpointable, so it runs only within the guarantee of "+
		"workspace %q, and no guaranteed shape holds %s (%d accelerators' part per member): mark it idempotent, let it "+
		"checkpoint, or raise the guarantee", ErrNeverRuns, j.Workspace, j.shape(), charge)
}

// memberCapacity returns how many members with the given charge a shape holds within a scope.
func (s Shape) memberCapacity(scope Scope, charge int) int {
	perMember := s.Accelerators / charge
	if scope == ScopeWorker && s.Scope != ScopeWorker {
		return perMember
	}
	if scope != ScopeAny && (s.Scope == ScopeAny || s.Scope > scope) && s.Members > 1 {
		return perMember
	}
	return perMember * s.Members
}

// describeObstacles returns the reasons why a queued job does not start.
func (s *Scheduler) describeObstacles(job *trackedJob) []string {
	free, total, longestRun := 0, 0, 0
	for _, n := range s.cell.nodes {
		if !n.inService() {
			continue
		}
		available := n.free &^ n.claimed
		free += popcount(available)
		total += n.Accelerators
		for longestRun < n.Accelerators && runStarts(available, longestRun+1) != 0 {
			longestRun++
		}
	}
	reasons := []string{
		fmt.Sprintf("needs %s; %d of %d accelerators in service are free, at most %d adjacent", job.spec.shape(), free, total,
			longestRun),
	}
	if !job.spec.evictable() {
		reasons = append(reasons, "neither idempotent nor checkpointable, waits for the guarantee of "+job.workspace.Name)
	}
	if r := &s.reservation; r.trackedJob != nil && r.trackedJob != job {
		reasons = append(reasons, "must end before the reservation of "+r.trackedJob.spec.ID+" or stay clear of its place")
	}
	for _, slot := range job.workspace.slots {
		if !slot.placed() {
			reasons = append(reasons, fmt.Sprintf("guarantee %s has no place on the workers in service", slot.shape))
		}
	}
	return append(reasons, job.reasons...)
}
