package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"radishpath.example/radishpath/placement"
)

// Values of Event.Event.
const (
	// SetWorker adds a worker. SetPolicy replaces the placement policy.
	SetWorker = "worker"
	SetPolicy = "policy"
	Submit    = "submit"
	Cancel    = "cancel"
	// BreakWorker makes every task on a worker fail until RepairWorker.
	BreakWorker  = "break"
	RepairWorker = "repair"
	// Decided is a recorded decision. A replay makes its own decisions and compares them with the recorded ones.
	Decided = "decision"
)

// Event is one line of a trace. AtMillis is the time since the start of the trace.
type Event struct {
	AtMillis int64               `json:"at"`
	Event    string              `json:"event"`
	ID       string              `json:"id,omitempty"`
	Worker   *placement.Worker   `json:"worker,omitempty"`
	Policy   *placement.Policy   `json:"policy,omitempty"`
	Job      *Job                `json:"job,omitempty"`
	Decision *placement.Decision `json:"decision,omitempty"`
}

// Job is a submitted job with its actual run time. WantOutcome is the expected outcome; empty means done.
type Job struct {
	Workspace             string `json:"workspace"`
	Kind                  string `json:"kind"`
	Members               int    `json:"members"`
	AcceleratorsPerMember int    `json:"each"`
	Cores                 int    `json:"cores,omitempty"`
	Scope                 int    `json:"scope"`
	Declared              int64  `json:"declared"`
	RunMillis             int64  `json:"run"`
	Class                 string `json:"class"`
	// Flags contains i for an idempotent, c for a checkpointable and u for an urgent job, and f for a job that fails on
	// every worker.
	Flags       string `json:"flags"`
	WantOutcome string `json:"want,omitempty"`
}

// Read parses a trace. Errors contain the line number.
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

// Write encodes a trace as JSON lines.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

func millisToDuration(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
