package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"radishpath.example/radishpath/placement"
)

// Kinds of events.
const (
	// SetWorker adds a worker, SetPolicy replaces the policy.
	SetWorker = "worker"
	SetPolicy = "policy"
	Submit    = "submit"
	Cancel    = "cancel"
	// Break makes a worker fail everything, Repair ends that.
	Break  = "break"
	Repair = "repair"
	// Decided is a recorded decision. A replay makes its own and compares.
	Decided = "decision"
)

// Event is one line of a trace. At and Run are in milliseconds since the start.
type Event struct {
	At       int64               `json:"at"`
	Event    string              `json:"event"`
	ID       string              `json:"id,omitempty"`
	Worker   *placement.Worker   `json:"worker,omitempty"`
	Policy   *placement.Policy   `json:"policy,omitempty"`
	Job      *Job                `json:"job,omitempty"`
	Decision *placement.Decision `json:"decision,omitempty"`
}

// Job is a submitted job with its real run time. Want is the outcome that is stated for it, empty for done.
type Job struct {
	Workspace string `json:"workspace"`
	Kind      string `json:"kind"`
	Members   int    `json:"members"`
	Each      int    `json:"each"`
	Cores     int    `json:"cores,omitempty"`
	Scope     int    `json:"scope"`
	Declared  int64  `json:"declared"`
	Run       int64  `json:"run"`
	Class     string `json:"class"`
	// Flags holds i for idempotent, c for checkpointable, u for urgent and f for a job that fails everywhere.
	Flags string `json:"flags"`
	Want  string `json:"want,omitempty"`
}

// Read reads a trace.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(events)+1, err)
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", len(events)+1, err)
	}
	return events, nil
}

// Write writes a trace.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
