package workerserver

import "time"

// Kinds of Event.
const (
	// EventStart is a task that started, or a request that began to run.
	EventStart = "start"
	// EventEnd is the end of a task or request that was started; State says how it ended.
	EventEnd = "end"
	// EventLapse is the end of a task because its lease lapsed, at Expired.
	EventLapse = "lapse"
	// EventRefusal is a task or request that was refused and not started.
	EventRefusal = "refusal"
	// EventRepeat is a request with a known id, which was not run again.
	EventRepeat = "repeat"
	// EventThrottle is a task that was slowed down.
	EventThrottle = "throttle"
	// EventLeaving is a change of what the backend server says about leaving; State is "on" or "off".
	EventLeaving = "leaving"
)

// Kinds of work in an Event.
const (
	KindTask    = "task"
	KindRequest = "request"
)

// Event is one line of a worker's record.
type Event struct {
	// Time is when the event was recorded, by the worker's clock.
	Time time.Time `json:"time"`
	// Event is one of the constants above.
	Event string `json:"event"`
	// Kind is "task" or "request".
	Kind string `json:"kind,omitempty"`
	// ID is the task's or request's id.
	ID         string `json:"id,omitempty"`
	Job        string `json:"job,omitempty"`
	Generation int64  `json:"generation,omitempty"`
	Count      int32  `json:"count,omitempty"`
	Member     int32  `json:"member,omitempty"`
	// Accelerators is a bit set of accelerator indexes.
	Accelerators uint64 `json:"accelerators,omitempty"`
	// Worker is the id of the worker and backend server.
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
	State  string `json:"state,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Resumed says that a task was started to go on from its checkpoint.
	Resumed bool `json:"resumed,omitempty"`
	// Expired is when the lease of a lapsed task expired; the task did no work after that.
	Expired time.Time `json:"expired,omitzero"`
}
