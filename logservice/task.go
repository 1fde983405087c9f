package logservice

// Task is one member of a gang as a worker runs it.
type Task struct {
	ID string `json:"id"`
	// Lease is the id of the lease that the task runs under; the task ends when the lease lapses.
	Lease      string `json:"lease"`
	Job        string `json:"job"`
	Generation int64  `json:"generation"`
	Count      int32  `json:"count"`
	Member     int32  `json:"member"`
	// Accelerators is a bit set of accelerator indexes.
	Accelerators uint64 `json:"accelerators"`
	Cores        int32  `json:"cores"`
	// Memory is in bytes.
	Memory  int64  `json:"memory"`
	Payload []byte `json:"payload"`
	// Resume continues from the job's last checkpoint of this member, if the worker has one.
	Resume bool `json:"resume"`
}

// States of a task.
const (
	StateRunning      = "running"
	StateDone         = "done"
	StateFailed       = "failed"
	StateLapsed       = "lapsed"
	StateStopped      = "stopped"
	StateCheckpointed = "checkpointed"
)

// TaskStatus is a task that a worker runs or still remembers.
type TaskStatus struct {
	Task
	State string `json:"state"`
	// Answer is set in state done.
	Answer []byte `json:"answer"`
	// Reason explains the states failed, lapsed and stopped.
	Reason string `json:"reason"`
}
