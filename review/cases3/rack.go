package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	rackGangSize = 4
	// rackGangAccelerators is what a task of the gang asks for: two don't fit on one executor.
	rackGangAccelerators = 7
	// leaveDrain is how long the leaving executor drains.
	leaveDrain = 2500 * time.Millisecond
	// fullRack is the rack where one executor is in use. The racks r0 and r1 have four executors, r2 has three.
	fullRack = "r1"
	leaver   = "i-9"
)

// playRack submits a gang of a step that asks for one rack, after the only rack that had room for it has lost an
// executor.
func playRack(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	lasting := job{
		id:   "00000000000000a0",
		spec: fmt.Sprintf("gpu %d %s", accelerators, lastingTime),
		steps: []step{{
			tasks:        1,
			accelerators: accelerators,
			options: map[string]any{
				"persistent":    true,
				"requiredLabel": fullRack,
			},
		}},
	}
	if status := d.submit(ctx, 0, lasting); status != http.StatusOK {
		return false, fmt.Errorf("lasting job: status %d", status)
	}
	isRunning := func() bool { return d.recorder.RunningOn(lasting.id+".0.0.0") != "" }
	if err := d.await(ctx, 10*time.Second, isRunning); err != nil {
		return false, fmt.Errorf("the task that lasts doesn't run: %w", err)
	}
	if trouble {
		d.record.add("%s drains and leaves", leaver)
		d.worker(leaver).executor.Leave(leaveDrain, 0, lastingTime)
	}
	<-d.clock.After(leaveDrain + 7*time.Second)
	gang := job{
		id:   "00000000000000d0",
		spec: fmt.Sprintf("gpu %d gang %d 40s", rackGangAccelerators, rackGangSize),
		steps: []step{{
			tasks:        rackGangSize,
			accelerators: rackGangAccelerators,
			estimate:     40 * time.Second,
			options: map[string]any{
				"gang":     true,
				"sameRack": true,
			},
		}},
	}
	if status := d.submit(ctx, 0, gang); status != http.StatusOK {
		return false, fmt.Errorf("gang: status %d", status)
	}
	trafficEnd := d.clock.Now()
	<-d.clock.After(finishTime + idleTime)
	starts := d.recorder.StartCount(gang.id + ".0.0.0")
	d.record.add("%s after the end of the traffic the gang has %d starts and is shown as %s",
		d.clock.Now().Sub(trafficEnd), starts, d.state(ctx, 0, gang.id))
	if starts == 0 {
		d.record.add("LOST: the gang has nothing running; 8 of %d accelerators are in use, and 9 executors are idle",
			workerCount*accelerators)
	}
	return starts == 0, nil
}
