package cmd

import (
	"io"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

// Config is what all commands share.
type Config struct {
	Clock  clockwork.Clock
	Stdout io.Writer
	Stderr io.Writer
}

// Execute runs the command line and returns the process's exit code.
func Execute(args []string) int {
	config := &Config{
		Clock:  clockwork.NewRealClock(),
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}
	root := config.newRootCmd()
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		return 1
	}
	return 0
}

func (c *Config) newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:          "radishpath",
		Short:        "Schedule multi-accelerator jobs and small requests under workspace guarantees",
		SilenceUsage: true,
	}
	root.SetOut(c.Stdout)
	root.SetErr(c.Stderr)
	root.AddCommand(
		c.newAgentCmd(),
		c.newEntryCmd(),
		c.newVersionCmd(),
	)
	return root
}
