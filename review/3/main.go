// Command 3 shows that an entry that is cut off from the store denies a job that it has just accepted, so that its
// cancellation is lost. See claim.txt.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"radishpath.example/radishpath/review/harness"
	"radishpath.example/radishpath/standin/storeserver"
)

const (
	chainJob = "00000000000000aa"
	// cutTime is how long the store leaves one entry without a response; it is below the 9 s of the site.
	cutTime = 5500 * time.Millisecond
	// cancelTime is cancel_ms, after which no task of a cancelled job may start.
	cancelTime = 3 * time.Second
	// chainTime is more than all steps of the job take.
	chainTime = 16 * time.Second
)

func main() {
	c := harness.Case{
		Folder:       "review/3",
		Agents:       3,
		Accelerators: 8,
	}
	c.Run = func(ctx context.Context, h *harness.Harness, trouble bool) (bool, error) {
		return run(ctx, c, h, trouble)
	}
	os.Exit(c.Main())
}

// run submits a job of ten steps to an entry that doesn't schedule and cancels it there as soon as it is accepted. It
// reports whether tasks start later than cancelTime after the cancellation was answered.
func run(ctx context.Context, c harness.Case, h *harness.Harness, trouble bool) (bool, error) {
	chain, err := c.ReadFile("chain.json")
	if err != nil {
		return false, err
	}
	leader := -1
	if !h.Await(cutTime, func() bool { leader = h.Leader(); return leader >= 0 }) {
		return false, fmt.Errorf("no entry schedules: %w", harness.ErrNotRun)
	}
	entry := (leader + 1) % len(h.Entries)
	if trouble {
		h.Note("the store doesn't respond to %s any more; %s schedules", h.Entries[entry].Name, h.Entries[leader].Name)
		h.Endpoints[entry].SetFault(storeserver.FaultUnresponsive, 0)
	}
	cutAt := h.Now()
	if status, _ := h.Call(ctx, http.MethodPost, entry, harness.Host, "/party/"+chainJob, harness.KeyWeddings,
		chain); status != http.StatusOK {
		return false, fmt.Errorf("the job wasn't accepted: %w", harness.ErrNotRun)
	}
	status, _ := h.Call(ctx, http.MethodDelete, entry, harness.Host, "/party/"+chainJob, harness.KeyWeddings, nil)
	answeredAt := h.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("the cancellation was answered with %d: %w", status, harness.ErrNotRun)
	}
	h.Sleep(cutTime - h.Now().Sub(cutAt))
	h.Endpoints[entry].SetFault(storeserver.FaultNone, 0)
	h.Note("the store serves all entries")
	h.Sleep(chainTime - h.Now().Sub(answeredAt))
	late := h.StartsOf(chainJob, answeredAt.Add(cancelTime))
	h.Note("%d tasks started later than %s after the cancellation was answered with %d", len(late), cancelTime, status)
	h.Call(ctx, http.MethodGet, entry, harness.Host, "/party/"+chainJob, harness.KeyWeddings, nil)
	return len(late) > 0, nil
}
