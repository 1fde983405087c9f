package cmd

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller/callerclient"
)

func (c *Config) newStatusCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "status ID",
		Short: "Print the state of a job",
		Long:  "Print the state of a job.\n\n" + exitCodesHelp,
		Example: "  radishpath status 6b1f\n" +
			"  radishpath status --output json 6b1f",
		Args: exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := c.callerClient().Status(cmd.Context(), args[0], 0)
			if err != nil {
				return callError(err)
			}
			return c.reportJob(job, false)
		},
	}
}

// reportJob prints a job and returns an error with the exit code for its state. A job that has not ended is an error
// only if the command waited for its end.
func (c *Config) reportJob(job callerclient.Job, waited bool) error {
	if err := c.printJob(job); err != nil {
		return err
	}
	switch {
	case job.State == callerclient.StateUnknown:
		return &ExitError{
			Code: exitUnknown,
		}
	case !job.Ended() && waited:
		return &ExitError{
			Code: exitPending,
		}
	case job.Ended() && job.State != callerclient.StateDone:
		return &ExitError{
			Code: exitUnsuccessful,
		}
	}
	return nil
}

func (c *Config) printJob(job callerclient.Job) error {
	var b strings.Builder
	fmt.Fprintf(&b, "id: %s\nstate: %s\n", job.ID, job.State)
	if job.Workspace != "" {
		fmt.Fprintf(&b, "workspace: %s\n", job.Workspace)
	}
	for _, reason := range job.Reasons {
		fmt.Fprintf(&b, "reason: %s\n", reason)
	}
	return c.print(job, "%s", b.String())
}
