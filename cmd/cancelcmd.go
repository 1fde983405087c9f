package cmd

import (
	"github.com/spf13/cobra"
)

func (c *Config) newCancelCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "cancel ID",
		Short:   "Cancel a job",
		Long:    "Cancel a job. A job that has ended keeps its outcome.\n\n" + exitCodesHelp,
		Example: "  radishpath cancel 6b1f",
		Args:    exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := c.callerClient().Cancel(cmd.Context(), args[0])
			if err != nil {
				return callError(err)
			}
			return c.printJob(job)
		},
	}
}
