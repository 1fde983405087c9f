package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
)

func (c *Config) newDiffCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show the differences between the current document and a file",
		Long:  "Show the differences between the current document and a file.\n\n" + exitCodesHelp,
		Example: "  radishpath diff document.ini\n" +
			"  radishpath diff --output json document.ini",
		Args: exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := c.readInput(args[0])
			if err != nil {
				return err
			}
			return c.withStore(func(conn *storeConn) error {
				current, err := conn.publisher.Current(cmd.Context())
				if err != nil {
					return fmt.Errorf("diff: %w", err)
				}
				return c.printDiff(current, text)
			})
		},
	}
}

func (c *Config) printDiff(current operator.Document, text string) error {
	body, _, _ := splitRevisionHeader(text)
	diff := document.Diff(current.Text, body)
	err := c.print(struct {
		Revision int64  `json:"revision"`
		Diff     string `json:"diff"`
	}{
		Revision: current.Revision,
		Diff:     diff,
	}, "%s", diff)
	if err == nil && diff != "" {
		err = &ExitError{
			Code: exitDifferent,
		}
	}
	return err
}
