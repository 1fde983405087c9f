package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// callDeadline is how long callers wait for a response, as in the table of requests of the users' sheets.
const callDeadline = 3 * time.Second

// caller is a client of the platform that holds a tenant's key. It keeps its connections, as the platform's do.
type caller struct {
	d      *deployment
	key    string
	client *http.Client
}

// answer is the response to a call; its status is 0 if there was none.
type answer struct {
	status int
	state  string
}

func (d *deployment) newCaller(key string) *caller {
	return &caller{
		d:   d,
		key: key,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
}

// call makes a call to the entry with an index and records it.
func (c *caller) call(ctx context.Context, entry int, method, path string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	sent := c.d.clock.Now()
	result, err := c.send(ctx, c.d.entries[entry].callerAddress, method, path, body)
	text := fmt.Sprintf("status %d", result.status)
	if err != nil {
		text = "no answer: " + err.Error()
	}
	c.d.record.line("%s %s %s -> %s %s (sent %.3f s before)", c.d.entries[entry].name, method, path, text, result.state,
		c.d.clock.Since(sent).Seconds())
	return result
}

func (c *caller) send(ctx context.Context, address, method, path string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("call: %w", err)
	}
	request.Host = callerHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set("Radishpath-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, fmt.Errorf("call: %w", err)
	}
	shown := struct {
		State string `json:"state"`
	}{}
	// Only lookups answer with a state.
	_ = json.Unmarshal(text, &shown)
	return answer{
		status: response.StatusCode,
		state:  shown.State,
	}, nil
}

// submit submits a job whose body is in a file of the case, and requires a 2xx response. It tries again at the next
// entry, as the platform's clients do.
func (c *caller) submit(ctx context.Context, entry int, path, file string) error {
	body, err := os.ReadFile(filepath.Join(c.d.root, "review", file))
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	for attempt := range 4 {
		result := c.call(ctx, (entry+attempt)%len(c.d.entries), http.MethodPost, path, body)
		if result.status >= 200 && result.status < 300 {
			return nil
		}
		if err = c.d.sleep(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s was not accepted", path)
}

// state looks a job up at one entry after the other until one answers with a state.
func (c *caller) state(ctx context.Context, path string) (string, error) {
	for attempt := range 20 {
		result := c.call(ctx, attempt%len(c.d.entries), http.MethodGet, path, nil)
		if result.state != "" {
			return result.state, nil
		}
		if err := c.d.sleep(ctx, 300*time.Millisecond); err != nil {
			return "", err
		}
	}
	return "", fmt.Errorf("no state of %s", path)
}
