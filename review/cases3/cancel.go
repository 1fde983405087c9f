package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/storeserver"
)

const (
	// storeCut is how long an entry is cut off from the store.
	storeCut = 4 * time.Second
	// cancelBound is cancel_ms of the small sites.
	cancelBound = 3 * time.Second
)

// playCancel submits a job and cancels it at an entry that has just been cut off from the store.
func playCancel(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	twoSteps := job{
		id:   "00000000000000c1",
		spec: "6s",
		steps: []step{
			{tasks: 1, accelerators: 1, estimate: 6 * time.Second},
			{tasks: 1, accelerators: 1, estimate: 6 * time.Second},
		},
	}
	cutEntry := entryCount - 1
	if trouble {
		d.record.add("entry %d is cut off from the store for %s", cutEntry+1, storeCut)
		d.endpoints[cutEntry].SetFault(storeserver.FaultUnresponsive, 0)
	}
	cutAt := d.clock.Now()
	if status := d.submit(ctx, cutEntry, twoSteps); status != http.StatusOK {
		return false, fmt.Errorf("job: status %d", status)
	}
	status := d.cancel(ctx, cutEntry, twoSteps.id)
	acknowledgedAt := d.clock.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("cancel: status %d", status)
	}
	<-d.clock.After(storeCut - d.clock.Now().Sub(cutAt))
	d.endpoints[cutEntry].SetFault(storeserver.FaultNone, 0)
	d.record.add("entry %d reaches the store", cutEntry+1)
	<-d.clock.After(14 * time.Second)
	broken := false
	for _, start := range d.recorder.StartsSince(acknowledgedAt.Add(cancelBound)) {
		if start.Task == twoSteps.id+".0.1.0" {
			d.record.add("UNASKED: %s, %s after the cancelling was acknowledged with %d", start,
				start.At.Sub(acknowledgedAt), status)
			broken = true
		}
	}
	for entry := range entryCount {
		d.record.add("entry %d shows the job as %s", entry+1, d.state(ctx, entry, twoSteps.id))
	}
	return broken, nil
}
