package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// drainRemaining is the least time that the leaving executor says it stays.
	drainRemaining = 3500 * time.Millisecond
	// drainLinger is how much longer it goes on serving: "at times many seconds".
	drainLinger = 2 * time.Second
	// cutTime is how long the link between the agent and its executor refuses connections.
	cutTime = 5 * time.Second
	// afterCut is how long the case goes on after the cut.
	afterCut = 10 * time.Second
)

// playDrain lets an executor drain and stay, and cuts the link to it with refused connections.
func playDrain(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	long := job{
		id:    "00000000000000d1",
		spec:  "25s",
		steps: []step{{tasks: 1, accelerators: 1, estimate: 25 * time.Second}},
	}
	if status := d.submit(ctx, 0, long); status != 200 {
		return false, fmt.Errorf("job: status %d", status)
	}
	task := long.id + ".0.0.0"
	if err := d.await(ctx, 5*time.Second, func() bool { return d.recorder.RunningOn(task) != "" }); err != nil {
		return false, fmt.Errorf("the task doesn't start: %w", err)
	}
	leaving := d.worker(d.recorder.RunningOn(task))
	if leaving == nil {
		return false, errors.New("the task runs nowhere")
	}
	<-d.clock.After(2 * time.Second)
	leavesAt := d.clock.Now().Add(drainRemaining)
	leaving.setChange(func(heartbeat map[string]any) {
		left := max(leavesAt.Sub(d.clock.Now()), 0)
		heartbeat[d.wire["remaining"]] = json.Number(fmt.Sprint(left.Milliseconds()))
	})
	leaving.executor.SetDraining(true)
	d.record.add("%s drains; it says that it stays at least %s more", leaving.id, drainRemaining)
	<-d.clock.After(drainRemaining + drainLinger)
	if trouble {
		d.record.add("the link to %s refuses connections for %s; %s runs on", leaving.id, cutTime, leaving.id)
		leaving.link.cut()
		<-d.clock.After(cutTime)
		if err := leaving.link.restore(ctx); err != nil {
			return false, err
		}
		d.record.add("the link to %s is restored", leaving.id)
	} else {
		<-d.clock.After(cutTime)
	}
	<-d.clock.After(afterCut)
	for _, violation := range d.recorder.Violations() {
		d.record.add("TWICE: %s", violation)
	}
	d.record.add("starts of %s: %d; state: %s", task, d.recorder.StartCount(task), d.state(ctx, 0, long.id))
	return len(d.recorder.Violations()) > 0, nil
}

// worker returns the worker with an id; nil if there is none.
func (d *deployment) worker(id string) *worker {
	for _, w := range d.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}
