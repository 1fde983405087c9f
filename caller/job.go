package caller

import (
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// millicoresPerCore and bytesPerMB convert to the units of a task's resource requests.
	millicoresPerCore = 1000
	bytesPerMB        = 1 << 20
)

// Scope is the part of the topology in which the members of a job run fastest. The scheduler prefers to place them
// there, but places them elsewhere if no such place becomes free in time.
type Scope string

// Placement scopes.
const (
	// ScopeAny is for members that run equally fast anywhere.
	ScopeAny Scope = ""
	// ScopeRack is for members that run faster in one rack.
	ScopeRack Scope = "rack"
)

// Job is a submitted job: members that run and end together, each with the same resource requests.
type Job struct {
	ID        string
	Workspace string
	// Queue is the name of a queue in the document. It may be empty if the document has one queue only.
	Queue   string
	Members int32
	// Accelerators, Cores and MemoryBytes are requested for each member.
	Accelerators int64
	Cores        int64
	MemoryBytes  int64
	Scope        Scope
	// Declared is the expected run time.
	Declared time.Duration
	// Checkpointable jobs save their work and resume from it after an interruption.
	Checkpointable bool
	// Payload is passed to the executors unchanged.
	Payload []byte
}

// CellJob returns the job as the cell stores and schedules it: a single step whose members run together. Memory is
// rounded up to whole MB. The id, the workspace and what the job has from its queue are not set.
func (j *Job) CellJob() *cellpb.Job {
	return &cellpb.Job{
		Spec:        string(j.Payload),
		Occurrences: 1,
		Steps: []*cellpb.Step{
			{
				Count:        j.Members,
				Cpu:          j.Cores * millicoresPerCore,
				MemoryMb:     (j.MemoryBytes + bytesPerMB - 1) / bytesPerMB,
				Accelerators: j.Accelerators,
				EstimateMs:   j.Declared.Milliseconds(),
				Checkpoints:  j.Checkpointable,
				Gang:         j.Members > 1,
				SameRack:     j.Scope == ScopeRack,
			},
		},
	}
}
