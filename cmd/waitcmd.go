package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller/callerclient"
)

const (
	// maxWaitPerCall is the maximum wait of a single call. Entries respond earlier when they shut down.
	maxWaitPerCall = 30 * time.Second
	// retryInterval is the pause between calls.
	retryInterval = 200 * time.Millisecond
)

func (c *Config) newWaitCmd() *cobra.Command {
	var timeout time.Duration
	wait := &cobra.Command{
		Use:   "wait ID",
		Short: "Wait until a job has ended",
		Long: "Wait until a job has ended. Restarts of entries do not interrupt the wait.\n\n" +
			exitCodesHelp,
		Example: "  radishpath wait 6b1f\n" +
			"  radishpath wait --timeout 10m 6b1f",
		Args: exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := c.waitForJob(cmd.Context(), args[0], timeout)
			if err != nil {
				return callError(err)
			}
			return c.reportJob(job, true)
		},
	}
	wait.Flags().DurationVar(&timeout, "timeout", time.Hour, "how long to wait")
	return wait
}

// waitForJob polls until the job has ended or the timeout expires. Connection and server errors are retried, because
// the load balancer may route the next call to another entry.
func (c *Config) waitForJob(ctx context.Context, id string, timeout time.Duration) (callerclient.Job, error) {
	deadline := c.Clock.Now().Add(timeout)
	for {
		remaining := deadline.Sub(c.Clock.Now())
		job, err := c.callerClient().Status(ctx, id, max(0, min(remaining, maxWaitPerCall)))
		var callErr *callerclient.Error
		if errors.As(err, &callErr) && callErr.Code < 500 {
			return job, fmt.Errorf("wait: %w", err)
		}
		if (err == nil && job.Ended()) || ctx.Err() != nil || remaining <= 0 {
			return job, err
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(min(retryInterval, remaining)):
		}
	}
}
