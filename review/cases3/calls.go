package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/cluster"
)

// callTimeout is the deadline of a call, as of the small sites' clients.
const callTimeout = 3 * time.Second

// job is a job to submit.
type job struct {
	id string
	// prefix is the path prefix of the queue; empty means that of the default queue.
	prefix string
	spec   string
	steps  []step
}

// step is a step of a job. It depends on the one before.
type step struct {
	tasks        int
	accelerators int
	estimate     time.Duration
	// options are further fields of the step.
	options map[string]any
}

// submit submits a job at an entry and returns the status of the response; 0 if there is none.
func (d *deployment) submit(ctx context.Context, entry int, submitted job) int {
	var steps []map[string]any
	for i, s := range submitted.steps {
		wireStep := map[string]any{
			"count":      s.tasks,
			"cpu":        100,
			"memMb":      10,
			"gpu":        s.accelerators,
			"estimateMs": max(s.estimate.Milliseconds(), 500),
		}
		maps.Copy(wireStep, s.options)
		if i > 0 {
			wireStep["dependsOn"] = []int{i - 1}
		}
		steps = append(steps, wireStep)
	}
	body, err := json.Marshal(map[string]any{
		d.wire["spec"]: submitted.spec,
		"steps":        steps,
	})
	if err != nil {
		return 0
	}
	path := cmp.Or(submitted.prefix, cluster.Prefix) + submitted.id
	status, _ := d.callAt(ctx, http.MethodPost, entry, path, cluster.APIKey, body)
	return status
}

// state returns the state of a job according to an entry, or the status of the response.
func (d *deployment) state(ctx context.Context, entry int, id string) string {
	return d.stateAt(ctx, entry, cluster.Prefix+id)
}

// stateAt returns the state of the job at a path according to an entry, or the status of the response.
func (d *deployment) stateAt(ctx context.Context, entry int, path string) string {
	status, body := d.callAt(ctx, http.MethodGet, entry, path, cluster.APIKey, nil)
	response := struct {
		State string `json:"state"`
	}{}
	if status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return response.State
}

// callAt makes a call at a path as the platform's clients do, with a key if it isn't empty, and records it.
func (d *deployment) callAt(
	ctx context.Context, method string, entry int, path, key string, body []byte,
) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + d.callers[entry] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = cluster.Host
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	request.Header.Set("Radishpath-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if method != http.MethodGet {
		d.record.add("sent: %s %s to entry %d, key %q: %s", method, path, entry+1, key, body)
	}
	response, err := d.client.Do(request)
	if err != nil {
		d.record.add("no answer to %s %s from entry %d: %v", method, path, entry+1, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if method != http.MethodGet {
		d.record.add("answered: %s %s by entry %d: %d %s", method, path, entry+1, response.StatusCode, answer)
	}
	return response.StatusCode, answer
}
