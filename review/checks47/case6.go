package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// finishTime is the time after the end of the traffic from which a job with room must not wait.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running although there is room for it.
	idleTime = 3 * time.Second
	// laterTime is how long the jobs are watched after that, for the record.
	laterTime = 20 * time.Second
	smallJobs = 4
)

// manyStartsAtOneExecutor: a job with many small tasks, whose description is as long as the platform allows, is handed
// in to an idle cell. Small jobs of another tenant follow.
func manyStartsAtOneExecutor() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			const large = "00000000000000b1"
			c := d.newCaller(weddingsKey)
			if trouble {
				if err := c.submit(ctx, 0, batchPrefix+large, "6/job.json"); err != nil {
					return "", err
				}
			}
			if err := d.sleep(ctx, contactTime); err != nil {
				return "", err
			}
			other := d.newCaller(hotelsKey)
			for i := range smallJobs {
				if err := other.submit(ctx, 0, batchPrefix+smallJobID(i), "6/small.json"); err != nil {
					return "", err
				}
			}
			d.record.line("the traffic ends")
			if err := d.sleep(ctx, finishTime+idleTime); err != nil {
				return "", err
			}
			waiting := d.waitingJobs(large, trouble)
			if len(waiting) == 0 {
				return "", nil
			}
			if err := d.sleep(ctx, laterTime); err != nil {
				return "", err
			}
			d.record.line("still waiting %s later: %v", laterTime, d.waitingJobs(large, trouble))
			_, err := c.state(ctx, batchPrefix+large)
			return fmt.Sprintf("%v haven't begun %s after the end of the traffic, on idle executors", waiting,
				finishTime+idleTime), err
		},
	}
}

// waitingJobs returns the ids of the jobs of which no task was started.
func (d *deployment) waitingJobs(large string, trouble bool) []string {
	begun := map[string]int{}
	for _, start := range d.recorder.StartsSince(time.Time{}) {
		id, _, _ := strings.Cut(start.Task, ".")
		begun[id]++
	}
	var waiting []string
	for i := range smallJobs {
		if begun[smallJobID(i)] == 0 {
			waiting = append(waiting, smallJobID(i))
		}
	}
	if trouble && begun[large] == 0 {
		waiting = append(waiting, large)
	}
	return waiting
}

func smallJobID(index int) string {
	return fmt.Sprintf("00000000000000a%d", index)
}
