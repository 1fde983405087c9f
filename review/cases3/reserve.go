package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/cluster"
)

const (
	// lastingTime is longer than the case.
	lastingTime = 10 * time.Minute
	smallCount  = 4
	gangTime    = time.Minute
	batchQueue  = "\n[queue \"batch\"]\nhost = " + cluster.Host + "\npriority = 2\nfailures = 2\n"
	// idleTime is how long after finish_s the case goes on.
	idleTime = 16 * time.Second
)

// playReserve submits gangs that together need all executors, beside a task that lasts on each, and small jobs after
// them.
func playReserve(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.publish(2, cluster.DocumentText(cluster.DocumentConfig{})+batchQueue); err != nil {
		return false, err
	}
	<-d.clock.After(configTime)
	lasting := job{
		id:   "00000000000000a0",
		spec: "gpu 1 " + lastingTime.String(),
		steps: []step{{
			tasks:        workerCount,
			accelerators: 1,
			estimate:     lastingTime,
			options: map[string]any{
				"persistent":   true,
				"antiAffinity": 1,
			},
		}},
	}
	if status := d.submit(ctx, 0, lasting); status != http.StatusOK {
		return false, fmt.Errorf("lasting job: status %d", status)
	}
	isRunning := func() bool {
		for i := range workerCount {
			if d.recorder.RunningOn(fmt.Sprintf("%s.0.0.%d", lasting.id, i)) == "" {
				return false
			}
		}
		return true
	}
	if err := d.await(ctx, 10*time.Second, isRunning); err != nil {
		return false, fmt.Errorf("tasks that last don't run: %w", err)
	}
	if trouble {
		if err := d.submitGangs(ctx); err != nil {
			return false, err
		}
	}
	var small []job
	for i := range smallCount {
		submitted := job{
			id:     fmt.Sprintf("00000000000000e%d", i),
			prefix: "/batch/",
			spec:   "2s",
			steps:  []step{{tasks: 1, accelerators: 1, estimate: 2 * time.Second}},
		}
		if status := d.submit(ctx, i%entryCount, submitted); status != http.StatusOK {
			return false, fmt.Errorf("small job: status %d", status)
		}
		small = append(small, submitted)
	}
	d.record.add("%d of %d accelerators are in use, by tasks that last", workerCount, workerCount*accelerators)
	<-d.clock.After(finishTime + idleTime)
	lost := 0
	for _, submitted := range small {
		if d.recorder.StartCount(submitted.id+".0.0.0") == 0 {
			d.record.add("LOST: %s, %s after the end of the traffic: never started, shown as %s", submitted.id,
				finishTime+idleTime, d.stateAt(ctx, 0, "/batch/"+submitted.id))
			lost++
		}
	}
	d.record.add("%d of %d small jobs have had nothing running", lost, smallCount)
	return lost > 0, nil
}

// submitGangs submits gangs that can't begin beside the tasks that last.
func (d *deployment) submitGangs(ctx context.Context) error {
	for i, size := range []int{6, 5} {
		gang := job{
			id:   fmt.Sprintf("00000000000000d%d", i),
			spec: fmt.Sprintf("gpu %d gang %d %s", accelerators, size, gangTime),
			steps: []step{{
				tasks:        size,
				accelerators: accelerators,
				estimate:     gangTime,
				options: map[string]any{
					"gang": true,
				},
			}},
		}
		if status := d.submit(ctx, i, gang); status != http.StatusOK {
			return fmt.Errorf("gang: status %d", status)
		}
	}
	return nil
}
