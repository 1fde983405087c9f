package caller

import "time"

// Scope is a placement constraint on the members of a job.
type Scope string

// Placement scopes.
const (
	// ScopeAny allows placement anywhere.
	ScopeAny Scope = ""
	// ScopeRack asks for placement in one rack, for members that run faster there.
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
