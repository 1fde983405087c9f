package main

import (
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/standin/logserver"
)

func (c *config) newLogCmd() *cobra.Command {
	server := logserver.Config{
		Clock: c.clock,
	}
	cmd := &cobra.Command{
		Use:     "log",
		Short:   "Run a log service in memory",
		Example: "  standin log --listen 127.0.0.1:7100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server.Logger = c.logger("log")
			return c.serve(cmd.Context(), logserver.New(server).Handler(), 0)
		},
	}
	cmd.Flags().IntVar(&server.Rate, "rate", 0, "appends per second, 0 for the default of 400")
	cmd.Flags().DurationVar(&server.Retention, "retention", 0, "age at which records are dropped, 0 keeps them")
	cmd.Flags().IntVar(&server.Keep, "keep", 0, "records that each stream retains, 0 for all")
	return cmd
}
