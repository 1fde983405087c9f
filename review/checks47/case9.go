package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// reclaimTime is the time within which guaranteed work has begun.
	reclaimTime = 2700 * time.Millisecond
	// reclaimWatch is how long the guaranteed job is watched beyond that.
	reclaimWatch = 30 * time.Second
)

// guaranteeBesideLastingWork: a tenant without a guarantee hands in a large job of a lower priority whose tasks last.
// It fills the cell, as idle room allows. Then a tenant hands in a job of priority 0 within its guarantee.
func guaranteeBesideLastingWork() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			if trouble {
				const lasting = "00000000000000e1"
				other := d.newCaller(hotelsKey)
				if err := other.submit(ctx, 0, batchPrefix+lasting, "9/lasting.json"); err != nil {
					return "", err
				}
				for i := range len(d.executors) * int(d.accelerators) {
					if err := d.awaitRun(ctx, taskName(lasting, i), readyTimeout); err != nil {
						return "", err
					}
				}
				// What runs has run for longer than any time of contact.
				if err := d.sleep(ctx, 2*contactTime); err != nil {
					return "", err
				}
			}
			const id = "00000000000000e2"
			c := d.newCaller(weddingsKey)
			if err := c.submit(ctx, 0, urgentPrefix+id, "9/guaranteed.json"); err != nil {
				return "", err
			}
			accepted := d.clock.Now()
			if err := d.awaitRun(ctx, taskName(id, 0), reclaimWatch); err != nil {
				_, stateErr := c.state(ctx, urgentPrefix+id)
				return "the guaranteed job hasn't begun: " + err.Error(), stateErr
			}
			if waited := d.clock.Since(accepted); waited > reclaimTime {
				return fmt.Sprintf("the guaranteed job began %s after its acknowledgement", waited), nil
			}
			return "", nil
		},
	}
}
