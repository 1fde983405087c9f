package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
)

func (c *Config) newDiffCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how a file differs from the current document",
		Long:  "Show how a file differs from the current document.\n\n" + exitCodesHelp,
		Example: "  radishpath diff document.ini\n" +
			"  radishpath diff --output json document.ini",
		Args: oneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := c.readInput(args[0])
			if err != nil {
				return err
			}
			current, err := c.operatorClient().Document(cmd.Context())
			if err != nil {
				return fmt.Errorf("diff: %w", err)
			}
			body, _, _ := splitMarker(text)
			diff := document.Diff(current.Text, body)
			if c.output == "json" {
				err = c.printJSON(struct {
					Revision int64  `json:"revision"`
					Diff     string `json:"diff"`
				}{
					Revision: current.Revision,
					Diff:     diff,
				})
			} else {
				err = c.printf("%s", diff)
			}
			if err != nil {
				return err
			}
			if diff != "" {
				return &ExitError{
					Code: exitDifferent,
				}
			}
			return nil
		},
	}
}
