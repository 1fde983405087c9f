package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/cluster"
)

const (
	// openPrefix is the path prefix of a queue that takes calls without a key.
	openPrefix = "/open/"
	openQueue  = "\n[queue \"open\"]\nhost = " + cluster.Host + "\npriority = 2\nfailures = 2\nanonymous = yes\n"
	// configTime is more than configApplyMs of the small sites.
	configTime = 3 * time.Second
)

// playForeign lets a client without a key call with the id of a job that belongs to a workspace, at the path of a queue
// that takes calls without a key.
func playForeign(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.publish(2, cluster.DocumentText(cluster.DocumentConfig{})+openQueue); err != nil {
		return false, err
	}
	<-d.clock.After(configTime)
	owned := job{
		id:    "00000000000000e1",
		spec:  "8s",
		steps: []step{{tasks: 1, accelerators: 1, estimate: 8 * time.Second}},
	}
	if status := d.submit(ctx, 0, owned); status != http.StatusOK {
		return false, fmt.Errorf("job: status %d", status)
	}
	<-d.clock.After(configTime)
	d.record.add("its owner sees the job as %s", d.state(ctx, 0, owned.id))
	if trouble {
		for _, path := range []string{cluster.Prefix + owned.id, openPrefix + owned.id} {
			for _, method := range []string{http.MethodGet, http.MethodDelete} {
				status, answer := d.callAt(ctx, method, 1, path, "", nil)
				d.record.add("%s %s of a client without a key: answered %d %s", method, path, status, answer)
			}
		}
	}
	<-d.clock.After(10 * time.Second)
	state := d.state(ctx, 0, owned.id)
	d.record.add("its owner sees the job as %s", state)
	if state == "cancelled" {
		d.record.add("LOST: the job is shown as cancelled, and no client of its workspace has cancelled it")
	}
	return state != "completed", nil
}
