package cmd

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (c *Config) newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  radishpath version\n  radishpath version --output json",
		Args:    atMostArgs(0),
		RunE: func(*cobra.Command, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			return c.print(struct {
				Version string `json:"version"`
			}{
				Version: version,
			}, "radishpath %s\n", version)
		},
	}
}
