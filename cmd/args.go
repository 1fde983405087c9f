package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

// atMostArgs is cobra's check with the exit code of a wrong command line.
func atMostArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) > count {
			return wrongArgs(cmd, fmt.Sprintf("at most %d %s", count, plural(count, "argument")), len(args))
		}
		return nil
	}
}

// oneArg is cobra's check with the exit code of a wrong command line.
func oneArg(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return wrongArgs(cmd, "one argument", len(args))
	}
	return nil
}

func wrongArgs(cmd *cobra.Command, want string, got int) error {
	return invalid(fmt.Errorf("%s takes %s, got %d; see radishpath %s --help", cmd.Name(), want, got, cmd.Name()))
}
