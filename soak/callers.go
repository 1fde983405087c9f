package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	host      = "desk.example"
	prefix    = "/quotes/"
	apiKey    = "soak-key"
	callLimit = 3 * time.Second
	// tries is how often a caller hands a job in.
	tries = 4
)

// submission is a job and what its caller was told.
type submission struct {
	id        string
	fails     bool
	cancelled bool
	accepted  bool
	// unknown is set once a try had no answer that settles it.
	unknown bool
}

// callers hand in jobs and remember the answers. They keep their connections open.
type callers struct {
	clock  clockwork.Clock
	client *http.Client
	fronts []string
	mu     sync.Mutex
	jobs   []*submission
	wait   sync.WaitGroup
}

// submit hands a job in, again under the same id after an answer that doesn't settle it.
func (c *callers) submit(ctx context.Context, random *rand.Rand) {
	job := &submission{
		id:        fmt.Sprintf("%016x", random.Uint64()),
		fails:     random.IntN(20) == 0,
		cancelled: random.IntN(12) == 0,
	}
	spec := fmt.Sprintf("%dms", 50+random.IntN(900))
	if job.fails {
		spec = "fail " + spec
	}
	body := fmt.Sprintf(`{"jobSpec":%q,"steps":[{"count":%d,"cpu":100,"memMb":10,"gpu":1,"estimateMs":500}]}`,
		spec, 1+random.IntN(2))
	front := random.IntN(len(c.fronts))
	c.mu.Lock()
	c.jobs = append(c.jobs, job)
	c.mu.Unlock()
	c.wait.Go(func() {
		c.handIn(ctx, job, body, front)
		if job.cancelled && job.accepted {
			job.cancelled = c.cancel(ctx, job, front)
		}
	})
}

func (c *callers) handIn(ctx context.Context, job *submission, body string, front int) {
	for try := range tries {
		status, _, err := c.call(ctx, http.MethodPost, c.fronts[(front+try)%len(c.fronts)], job.id, body)
		switch {
		case err == nil && status == http.StatusOK:
			job.accepted = true
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		default:
			job.unknown = true
		}
		<-c.clock.After(300 * time.Millisecond)
	}
}

// cancel reports whether the cancellation was accepted.
func (c *callers) cancel(ctx context.Context, job *submission, front int) bool {
	status, _, err := c.call(ctx, http.MethodDelete, c.fronts[front], job.id, "")
	return err == nil && status == http.StatusOK
}

// state returns the state that an entry gives, or the status of its refusal.
func (c *callers) state(ctx context.Context, front, id string) string {
	status, body, err := c.call(ctx, http.MethodGet, front, id, "")
	if err != nil || status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	answer := struct {
		State string `json:"state"`
	}{}
	if err = json.Unmarshal(body, &answer); err != nil {
		return err.Error()
	}
	return answer.State
}

func (c *callers) call(ctx context.Context, method, front, id, body string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("Radishpath-Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	return response.StatusCode, answer, nil
}
