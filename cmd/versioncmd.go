package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (c *Config) newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  radishpath version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), "radishpath", version); err != nil {
				return fmt.Errorf("print version: %w", err)
			}
			return nil
		},
	}
}
