package placement

import (
	"fmt"
	"time"
)

// Scope is the part of the topology that all members of a job share.
type Scope int

// Scopes: no restriction, then from the narrowest to the widest.
const (
	ScopeAny Scope = iota
	ScopeWorker
	ScopeRack
	ScopeZone
)

// String returns the name of the scope in the operators' document.
func (s Scope) String() string {
	switch s {
	case ScopeWorker:
		return "worker"
	case ScopeRack:
		return "rack"
	case ScopeZone:
		return "zone"
	case ScopeAny:
	}
	return "any"
}

// Shape is a number of members with adjacent accelerators each, all within one scope.
type Shape struct {
	Members      int
	Accelerators int
	Scope        Scope
}

// String returns the notation of the operators' document, such as 2x4@rack.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d@%s", s.Members, s.Accelerators, s.Scope)
}

func (s Shape) size() int {
	return s.Members * s.Accelerators
}

// Job is a gang job. Accelerators, Cores and Memory (bytes) are per member; the accelerators of a member have
// contiguous indexes in one worker.
type Job struct {
	ID             string
	Workspace      string
	Kind           string
	Idempotent     bool
	Checkpointable bool
	Urgent         bool
	Members        int
	Accelerators   int
	Cores          int
	Memory         int64
	Scope          Scope
	// Declared is the run time given by the caller, which may be wrong by up to a factor of 10. It is combined with the
	// measured run times of the kind as soon as there are any.
	Declared time.Duration
	// StartDeadline is the latest time at which the job may start; zero means none.
	StartDeadline time.Time
	// AcceptedAt is the acceptance time, which determines the order in the queue; zero means the time of Submit.
	AcceptedAt time.Time
}

// evictable reports whether the job may be stopped and run again, because it is checkpointable or idempotent.
func (j Job) evictable() bool {
	return j.Checkpointable || j.Idempotent
}

// normalized gives members without accelerators and cores one core each. Otherwise a worker could hold any number of
// them, and a gang of a million members would be placed member by member.
func (j Job) normalized() Job {
	if j.Accelerators == 0 && j.Cores == 0 {
		j.Cores = 1
	}
	return j
}

func (j Job) shape() Shape {
	return Shape{
		Members:      j.Members,
		Accelerators: j.Accelerators,
		Scope:        j.Scope,
	}
}

func (j Job) size() int {
	return j.Members * j.Accelerators
}
