package backend

// Request is one small request.
type Request struct {
	// ID names this attempt; the backend server runs an id once.
	ID         string `json:"id"`
	Job        string `json:"job"`
	Generation int64  `json:"generation"`
	Count      int32  `json:"count"`
	Payload    []byte `json:"payload"`
}

// Answer is the result of a request.
type Answer struct {
	Body   []byte `json:"body"`
	Failed bool   `json:"failed"`
	// Reason explains a failure.
	Reason string `json:"reason"`
}

// States of a request.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Status is a request that runs or whose answer is kept.
type Status struct {
	Request
	State string `json:"state"`
	// Answer is set unless the state is running.
	Answer Answer `json:"answer"`
}
