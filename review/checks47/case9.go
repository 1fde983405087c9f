package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// finishTime is the time after the end of the traffic from which a job with room must not wait.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running although there is room for it.
	idleTime = 3 * time.Second
	// startWatch is how long the small jobs are watched in all.
	startWatch = 60 * time.Second
	smallJobs  = 3
)

// smallJobsBehindLargeOnes: a small task of a lasting job runs on each executor, and seven of eight accelerators of
// each are idle. Large jobs come at once, which need whole executors and can't start. Small jobs follow.
func smallJobsBehindLargeOnes() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			c := d.newCaller(weddingsKey)
			const lasting = "00000000000000f0"
			if err := c.submit(ctx, 0, costingPrefix+lasting, "9/lasting.json"); err != nil {
				return "", err
			}
			for i := range d.executors {
				if err := d.awaitRun(ctx, taskName(lasting, i), readyTimeout); err != nil {
					return "", err
				}
			}
			if trouble {
				for i := range 2 {
					path := fmt.Sprintf("%s00000000000000f%d", costingPrefix, i+1)
					if err := c.submit(ctx, 0, path, "9/large.json"); err != nil {
						return "", err
					}
				}
			}
			for i := range smallJobs {
				if err := c.submit(ctx, 0, batchPrefix+smallJobID(i), "9/small.json"); err != nil {
					return "", err
				}
			}
			d.record.line("the traffic ends")
			return d.judgeSmallJobs(ctx, c)
		},
	}
}

func smallJobID(index int) string {
	return fmt.Sprintf("00000000000000a%d", index)
}

// judgeSmallJobs says which small jobs have nothing running for idleTime, from finishTime after the traffic on.
func (d *deployment) judgeSmallJobs(ctx context.Context, c *caller) (string, error) {
	ended := d.clock.Now()
	var waiting []string
	for i := range smallJobs {
		limit := finishTime + idleTime - d.clock.Since(ended)
		if err := d.awaitStart(ctx, taskName(smallJobID(i), 0), max(limit, pollInterval)); err != nil {
			waiting = append(waiting, smallJobID(i))
		}
	}
	if len(waiting) == 0 {
		return "", nil
	}
	// How long they wait is for the record alone.
	for i := range smallJobs {
		limit := startWatch - d.clock.Since(ended)
		started := d.awaitStart(ctx, taskName(smallJobID(i), 0), max(limit, pollInterval)) == nil
		d.record.line("%s started within %s of the end of the traffic: %t", smallJobID(i), startWatch, started)
		if _, err := c.state(ctx, batchPrefix+smallJobID(i)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%v haven't begun %s after the end of the traffic, with 28 of 32 accelerators idle", waiting,
		finishTime+idleTime), nil
}
