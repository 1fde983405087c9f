// Command 1 shows that agents never find the entries that have come in place of all others. See claim.txt.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"radishpath.example/radishpath/review/harness"
)

const (
	// replaceTime is how long after a machine is gone the new one comes, as on the site.
	replaceTime = 2 * time.Second
	// settleTime is finish_s, idleTime how long after it an accepted job may have nothing running.
	settleTime = 14 * time.Second
	idleTime   = 3 * time.Second
	jobs       = 4
	submitGap  = 500 * time.Millisecond
)

func main() {
	c := harness.Case{
		Folder:       "review/1",
		Agents:       6,
		Accelerators: 8,
	}
	c.Run = func(ctx context.Context, h *harness.Harness, trouble bool) (bool, error) {
		return run(ctx, c, h, trouble)
	}
	os.Exit(c.Main())
}

// run removes all entries and starts new ones, with the disruption at other addresses. Then it submits jobs and reports
// whether accepted ones have nothing running in the end.
func run(ctx context.Context, c harness.Case, h *harness.Harness, trouble bool) (bool, error) {
	job, err := c.ReadFile("job.json")
	if err != nil {
		return false, err
	}
	submit := func(number int) (string, bool) {
		id := fmt.Sprintf("%016x", number)
		status, _ := h.Call(ctx, http.MethodPost, number%len(h.Entries), harness.Host, "/party/"+id, harness.KeyWeddings, job)
		return id, status == http.StatusOK
	}
	first, ok := submit(1)
	if !ok || !h.Await(settleTime, func() bool { return h.Recorder.IsDone(lastTask(first)) }) {
		return false, fmt.Errorf("the first job didn't run: %w", harness.ErrNotRun)
	}
	if err = h.ReplaceEntries(ctx, replaceTime, trouble); err != nil {
		return false, err
	}
	if !h.AwaitReady(ctx) {
		return false, fmt.Errorf("the new entries aren't ready: %w", harness.ErrNotRun)
	}
	var accepted []string
	for i := range jobs {
		if id, stored := submit(2 + i); stored {
			accepted = append(accepted, id)
		}
		h.Sleep(submitGap)
	}
	h.Sleep(settleTime + idleTime)
	missing := 0
	for _, id := range accepted {
		h.Call(ctx, http.MethodGet, 0, harness.Host, "/party/"+id, harness.KeyWeddings, nil)
		if !h.Recorder.IsDone(lastTask(id)) && h.Recorder.RunningOn(lastTask(id)) == "" {
			missing++
		}
	}
	h.Note("%d of %d accepted jobs have nothing running and their last task isn't done, with all executors idle",
		missing, len(accepted))
	return missing > 0, nil
}

func lastTask(job string) string {
	return job + ".0.1.0"
}
