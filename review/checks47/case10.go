package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"radishpath.example/radishpath/standin/storeserver"
)

// silenceBeforeSubmit is how long the store has left an entry unanswered when a caller hands a job in there.
const silenceBeforeSubmit = 3200 * time.Millisecond

// refusedByTheJobsInterface: the store stops answering one entry. A caller of the project's own interface hands a job
// in there. The entry says that the job wasn't accepted and is not run.
func refusedByTheJobsInterface() plannedCase {
	return plannedCase{
		deployment: deploymentConfig{
			entries:      3,
			racks:        []string{"r1", "r1", "r2"},
			accelerators: 8,
			maxLease:     maxLeaseShort,
			jobs:         true,
		},
		play: func(ctx context.Context, d *deployment, trouble bool) (string, error) {
			entry, err := d.otherThanScheduler()
			if err != nil {
				return "", err
			}
			if trouble {
				d.record.line("the store leaves the calls of %s unanswered", d.entries[entry].name)
				d.entries[entry].endpoint.SetFault(storeserver.FaultUnresponsive, 0)
			}
			if err = d.sleep(ctx, silenceBeforeSubmit); err != nil {
				return "", err
			}
			const id = "00000000000000d7"
			status, err := d.submitToJobs(ctx, entry)
			if err != nil {
				return "", err
			}
			d.entries[entry].endpoint.SetFault(storeserver.FaultNone, 0)
			started := d.awaitStart(ctx, taskName(id, 0), 10*time.Second) == nil
			if status == http.StatusServiceUnavailable && started {
				return "the only attempt to hand the job in was rejected with 503, and its task was started", nil
			}
			return "", nil
		},
	}
}

// submitToJobs hands the job of the case in at the project's own interface of an entry and returns the status.
func (d *deployment) submitToJobs(ctx context.Context, entry int) (int, error) {
	body, err := os.ReadFile(filepath.Join(d.root, "review", "10", "job.json"))
	if err != nil {
		return 0, fmt.Errorf("job: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	url := "http://" + d.entries[entry].jobsAddress + "/v1/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+weddingsKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	d.record.line("%s POST /v1/jobs -> status %d, Retry-After %q, %s", d.entries[entry].name, response.StatusCode,
		response.Header.Get("Retry-After"), bytes.TrimSpace(text))
	return response.StatusCode, nil
}
