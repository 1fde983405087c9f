package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"radishpath.example/radishpath/standin/storeserver"
)

const (
	// silenceTime is how long the store leaves the calls of one entry unanswered.
	silenceTime = 2 * time.Second
	// watchTime is how long the executors are watched after the cancellation. The room is taken for 8 s.
	watchTime = 14 * time.Second
)

// cancelledAtAnEntryCutFromTheStore: all executors are busy. The store stops answering one entry. A caller hands a job
// in there, which is accepted with the help of another entry, and cancels it over the same connection.
func cancelledAtAnEntryCutFromTheStore() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			c := d.newCaller(weddingsKey)
			if err := d.fillExecutors(ctx, c); err != nil {
				return "", err
			}
			entry, err := d.otherThanScheduler()
			if err != nil {
				return "", err
			}
			if trouble {
				d.silenceStore(ctx, entry)
			}
			const id = "00000000000000c1"
			if err = c.submit(ctx, entry, batchPrefix+id, "8/job.json"); err != nil {
				return "", err
			}
			cancelledAt, err := c.cancel(ctx, entry, batchPrefix+id)
			if err != nil {
				return "", err
			}
			if err = d.sleep(ctx, watchTime); err != nil {
				return "", err
			}
			if _, err = c.state(ctx, batchPrefix+id); err != nil {
				return "", err
			}
			return d.startAfter(taskName(id, 0), cancelledAt.Add(cancelTime)), nil
		},
	}
}

// fillExecutors hands in a job for each executor that takes all of its room, and waits until they run.
func (d *deployment) fillExecutors(ctx context.Context, c *caller) error {
	for i := range d.executors {
		id := fmt.Sprintf("00000000000000b%d", i)
		if err := c.submit(ctx, 0, batchPrefix+id, "8/filler.json"); err != nil {
			return err
		}
		err := d.await(ctx, readyTimeout, id+" runs", func() bool {
			return d.recorder.RunningOn(taskName(id, 0)) != ""
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// silenceStore lets the store leave the calls of an entry unanswered for silenceTime.
func (d *deployment) silenceStore(ctx context.Context, entry int) {
	d.record.line("the store leaves the calls of %s unanswered", d.entries[entry].name)
	d.entries[entry].endpoint.SetFault(storeserver.FaultUnresponsive, 0)
	go func() {
		// The case is over if the wait fails.
		_ = d.sleep(ctx, silenceTime)
		d.entries[entry].endpoint.SetFault(storeserver.FaultNone, 0)
		d.record.line("the store answers %s again", d.entries[entry].name)
	}()
}

// cancel cancels a job, at one entry after the other until one answers with 2xx or 410, and returns when it did.
func (c *caller) cancel(ctx context.Context, entry int, path string) (time.Time, error) {
	for attempt := range 20 {
		result := c.call(ctx, (entry+attempt)%len(c.d.entries), http.MethodDelete, path, nil)
		if result.status/100 == 2 || result.status == http.StatusGone {
			return c.d.clock.Now(), nil
		}
		if err := c.d.sleep(ctx, 300*time.Millisecond); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("%s was not cancelled", path)
}

// startAfter describes a start of a task after a time; empty if there is none.
func (d *deployment) startAfter(task string, limit time.Time) string {
	for _, start := range d.recorder.StartsSince(limit) {
		if start.Task == task {
			return fmt.Sprintf("%s was started %.3f s after the limit", start, start.At.Sub(limit).Seconds())
		}
	}
	return ""
}
