package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/cluster"
)

// callTimeout is the deadline of a call, as of the small sites' clients.
const callTimeout = 3 * time.Second

// job is a job to submit.
type job struct {
	id    string
	spec  string
	steps []step
}

// step is a step of a job. It depends on the one before.
type step struct {
	tasks        int
	accelerators int
	estimate     time.Duration
	// label is a label that the executor must have; empty means none.
	label string
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
		if s.label != "" {
			wireStep["requiredLabel"] = s.label
		}
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
	status, _ := d.call(ctx, http.MethodPost, entry, submitted.id, body)
	return status
}

// cancel cancels a job at an entry and returns the status of the response; 0 if there is none.
func (d *deployment) cancel(ctx context.Context, entry int, id string) int {
	status, _ := d.call(ctx, http.MethodDelete, entry, id, nil)
	return status
}

// state returns the state of a job according to an entry, or the status of the response.
func (d *deployment) state(ctx context.Context, entry int, id string) string {
	status, body := d.call(ctx, http.MethodGet, entry, id, nil)
	response := struct {
		State string `json:"state"`
	}{}
	if status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return response.State
}

// call makes a call as the platform's clients do and records it.
func (d *deployment) call(ctx context.Context, method string, entry int, id string, body []byte) (int, []byte) {
	return d.callAt(ctx, method, entry, cluster.Prefix+id, cluster.APIKey, body)
}

// callAt makes a call at a path, with a key if it isn't empty.
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
