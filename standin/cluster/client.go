package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// The host, the path prefix of the default queue and the caller's key in the document that DocumentText returns.
const (
	Host   = "desk.example"
	Prefix = "/quotes/"
	APIKey = "caller-key"
)

// ManyStepsStart is the start of a submission whose list of steps follows.
const ManyStepsStart = `{"jobSpec":"1ms","steps":[`

const (
	callTimeout       = 3 * time.Second
	maxSubmitAttempts = 4
	retryInterval     = 300 * time.Millisecond
)

// Outcome is what a caller knows about a call after the last response.
type Outcome int

// Outcomes.
const (
	// Rejected means that every attempt was rejected with a status that rules out an effect.
	Rejected Outcome = iota
	// Accepted means that an attempt succeeded.
	Accepted
	// Unknown means that no attempt is known to have succeeded, but one may have had an effect.
	Unknown
)

// Job is a job to submit.
type Job struct {
	ID string
	// Spec is the spec of each task, as package executorserver defines it.
	Spec         string
	Tasks        int
	Accelerators int
	Gang         bool
	Checkpoints  bool
	Estimate     time.Duration
	// Prefix is the path prefix of the queue; empty means that of the default queue.
	Prefix string
	// APIKey is the caller's key; empty means the default key.
	APIKey string
}

// Client submits jobs as the platform's callers do, over persistent connections.
type Client struct {
	clock  clockwork.Clock
	client *http.Client
}

// NewClient returns a client whose retry delays use clock.
func NewClient(clock clockwork.Clock) *Client {
	return &Client{
		clock: clock,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
}

// Submit submits a job. Unless an attempt succeeds, it tries again with the same id at the next entry.
func (c *Client) Submit(ctx context.Context, entries []string, job Job) Outcome {
	outcome := Rejected
	for attempt := range maxSubmitAttempts {
		status, err := c.SubmitOnce(ctx, entries[attempt%len(entries)], job)
		switch outcomeOf(status, err) {
		case Accepted:
			return Accepted
		case Unknown:
			outcome = Unknown
		case Rejected:
		}
		<-c.clock.After(retryInterval)
	}
	return outcome
}

// SubmitOnce submits a job at one entry and returns the HTTP status.
func (c *Client) SubmitOnce(ctx context.Context, entry string, job Job) (int, error) {
	step := map[string]any{
		"count":      max(job.Tasks, 1),
		"cpu":        100,
		"memMb":      10,
		"gpu":        max(job.Accelerators, 1),
		"estimateMs": max(job.Estimate.Milliseconds(), 500),
	}
	if job.Gang {
		step["gang"] = true
	}
	if job.Checkpoints {
		step["checkpoints"] = true
	}
	body, err := json.Marshal(map[string]any{
		"jobSpec": job.Spec,
		"steps":   []any{step},
	})
	if err != nil {
		return 0, fmt.Errorf("encode job: %w", err)
	}
	status, _, err := c.call(ctx, http.MethodPost, entry, job, body)
	return status, err
}

// Cancel cancels a job at one entry.
func (c *Client) Cancel(ctx context.Context, entry string, job Job) Outcome {
	status, _, err := c.call(ctx, http.MethodDelete, entry, job, nil)
	return outcomeOf(status, err)
}

// State returns the state of a job according to an entry, or a text with the HTTP status if the lookup fails.
func (c *Client) State(ctx context.Context, entry string, job Job) string {
	status, body, err := c.call(ctx, http.MethodGet, entry, job, nil)
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	response := struct {
		State string `json:"state"`
	}{}
	if err = json.Unmarshal(body, &response); err != nil {
		return err.Error()
	}
	return response.State
}

// IsReady reports whether the readiness check at an address succeeds.
func (c *Client) IsReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *Client) call(ctx context.Context, method, entry string, job Job, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := job.Prefix
	if prefix == "" {
		prefix = Prefix
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+prefix+job.ID, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	key := job.APIKey
	if key == "" {
		key = APIKey
	}
	request.Host = Host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Radishpath-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	return response.StatusCode, responseBody, nil
}

// outcomeOf returns the outcome of a single attempt.
func outcomeOf(status int, err error) Outcome {
	switch {
	case err != nil:
		return Unknown
	case status == http.StatusOK:
		return Accepted
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return Rejected
	}
	return Unknown
}
