package main

import (
	"context"
	"fmt"
	"time"
)

// drainTime is how long an executor drains before it leaves.
const drainTime = 3 * time.Second

// gangWiderThanEachRack: the tasks of a gang are faster in one rack, and one rack is wide enough. An executor of it is
// lost for good. Then the gang is handed in, while all other executors are idle.
func gangWiderThanEachRack() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r1", "r2", "r2", "r3", "r3", "r4", "r4"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			c := d.newCaller(weddingsKey)
			if trouble {
				if err := d.takeAway(ctx, d.executors[0]); err != nil {
					return "", err
				}
			}
			const id = "0000000000000091"
			if err := c.submit(ctx, 0, costingPrefix+id, "10/job.json"); err != nil {
				return "", err
			}
			if err := d.awaitStart(ctx, taskName(id, 0), finishTime+idleTime); err == nil {
				return "", nil
			}
			started := d.awaitStart(ctx, taskName(id, 0), startWatch) == nil
			d.record.line("started within %s more: %t", startWatch, started)
			_, err := c.state(ctx, costingPrefix+id)
			return fmt.Sprintf("%s hasn't begun %s after the end of the traffic, with all of 64 accelerators idle", id,
				finishTime+idleTime), err
		},
	}
}

// takeAway lets an executor without runs drain, announce its end and leave for good, and waits until that is past.
func (d *deployment) takeAway(ctx context.Context, h *executorHost) error {
	d.record.line("%s drains and leaves for good", h.id)
	h.Leave(drainTime, 0, time.Hour)
	h.close()
	return d.sleep(ctx, 2*contactTime)
}
