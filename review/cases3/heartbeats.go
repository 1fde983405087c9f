package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	oddHeartbeats = 4
	oddInterval   = 2500 * time.Millisecond
)

// playHeartbeats sends an agent a few heartbeats of another writer, in which the start of the executor is missing.
func playHeartbeats(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	long := job{
		id:    "00000000000000b1",
		spec:  "20s",
		steps: []step{{tasks: 1, accelerators: 1, estimate: 20 * time.Second}},
	}
	if status := d.submit(ctx, 0, long); status != http.StatusOK {
		return false, fmt.Errorf("job: status %d", status)
	}
	task := long.id + ".0.0.0"
	if err := d.await(ctx, 5*time.Second, func() bool { return d.recorder.RunningOn(task) != "" }); err != nil {
		return false, fmt.Errorf("the task doesn't start: %w", err)
	}
	target := d.worker(d.recorder.RunningOn(task))
	if target == nil {
		return false, errors.New("the task runs nowhere")
	}
	for range oddHeartbeats {
		<-d.clock.After(oddInterval)
		if trouble {
			status := target.sendOdd(ctx, "born")
			d.record.add("heartbeat of another writer for %s, without its start: answered %d; the job is %s", target.id, status,
				d.state(ctx, 0, long.id))
		}
	}
	<-d.clock.After(25 * time.Second)
	state := d.state(ctx, 0, long.id)
	d.record.add("starts of %s: %d; state: %s", task, d.recorder.StartCount(task), state)
	for _, violation := range d.recorder.Violations() {
		d.record.add("TWICE: %s", violation)
	}
	return state != "completed" || len(d.recorder.Violations()) > 0, nil
}
