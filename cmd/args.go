package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

// atMostArgs is cobra.MaximumNArgs with exit code exitInvalid.
func atMostArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) > count {
			return argCountError(cmd, fmt.Sprintf("at most %d %s", count, plural(count, "argument")), len(args))
		}
		return nil
	}
}

// exactlyOneArg is cobra.ExactArgs(1) with exit code exitInvalid.
func exactlyOneArg(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return argCountError(cmd, "one argument", len(args))
	}
	return nil
}

func argCountError(cmd *cobra.Command, want string, got int) error {
	return invalidInputError(
		fmt.Errorf("%s takes %s, got %d; see radishpath %s --help", cmd.Name(), want, got, cmd.Name()))
}
