package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// oddHeartbeats is the number of heartbeats of another writer, oddInterval the time between them.
	oddHeartbeats = 3
	oddInterval   = 3 * time.Second
	// oddJobTime is the time within which the job, whose task takes 20 s, is completed.
	oddJobTime = 45 * time.Second
)

// heartbeatsWithoutBirth: a job with one task runs. Another writer sends heartbeats that name the executor on which it
// runs and lack a field. The executor itself is sound, and its own heartbeats go on.
func heartbeatsWithoutBirth() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			c := d.newCaller(weddingsKey)
			const id = "00000000000000e5"
			if err := c.submit(ctx, 0, costingPrefix+id, "7/job.json"); err != nil {
				return "", err
			}
			if err := d.awaitRun(ctx, taskName(id, 0), readyTimeout); err != nil {
				return "", err
			}
			for range oddHeartbeats {
				if err := d.sleep(ctx, oddInterval); err != nil {
					return "", err
				}
				if !trouble {
					continue
				}
				if err := d.sendOddHeartbeat(ctx, d.recorder.RunningOn(taskName(id, 0))); err != nil {
					return "", err
				}
			}
			state := ""
			err := d.await(ctx, oddJobTime, "the job has ended", func() bool {
				state, _ = c.state(ctx, costingPrefix+id)
				return state == "completed" || state == "failed"
			})
			if state == "failed" {
				return "the job, none of whose runs has ended failed, is shown as failed", nil
			}
			return "", err
		},
	}
}

// sendOddHeartbeat sends the heartbeat of another writer for an executor; empty means the first one.
func (d *deployment) sendOddHeartbeat(ctx context.Context, executorID string) error {
	body, err := os.ReadFile(filepath.Join(d.root, "review", "7", "heartbeat.json"))
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	index := 0
	for i, h := range d.executors {
		if h.id == executorID {
			index = i
		}
	}
	url := fmt.Sprintf("http://%s/v1/instances/%s", d.controls[index], d.executors[index].id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("heartbeat: %w", err)
	}
	_ = response.Body.Close()
	d.record.line("another writer: PUT /v1/instances/%s -> status %d", d.executors[index].id, response.StatusCode)
	return nil
}
