package workerserver

import (
	"encoding/json"
	"fmt"
	"time"

	"radishpath.example/radishpath/rest"
)

// Payload is what a task or request does.
type Payload struct {
	// Work is how long it runs.
	Work rest.Duration `json:"work,omitempty"`
	// Answer is the answer, or the reason if it fails.
	Answer string `json:"answer,omitempty"`
	Fail   bool   `json:"fail,omitempty"`
}

// parsePayload reads a payload. One that is no JSON is a job that fails, not a call that is refused.
func parsePayload(text []byte) Payload {
	payload := Payload{}
	if len(text) == 0 {
		return payload
	}
	if err := json.Unmarshal(text, &payload); err != nil {
		return Payload{
			Answer: "decode payload: " + err.Error(),
			Fail:   true,
		}
	}
	return payload
}

// answer is what the given run of the job returns.
func (p Payload) answer(job string, run int) []byte {
	if p.Answer != "" {
		return []byte(p.Answer)
	}
	return fmt.Appendf(nil, "%s %d", job, run)
}

func (p Payload) work() time.Duration {
	return time.Duration(p.Work)
}

// failedWorker is the payload of everything that a worker runs while it fails all work.
func failedWorker() Payload {
	return Payload{
		Answer: "worker fails all work",
		Fail:   true,
	}
}

func (p Payload) reason() string {
	if p.Answer != "" {
		return p.Answer
	}
	return "payload fails"
}
