package cmd

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/operator"
)

func (c *Config) newShowCmd() *cobra.Command {
	var history bool
	show := &cobra.Command{
		Use:   "show [REVISION]",
		Short: "Print the document or its history",
		Long: "Print the current document, or an earlier revision. The first line names the revision; publish needs it, " +
			"and publishing an earlier revision again needs --base with the current one.\n\n" + exitCodesHelp,
		Example: "  radishpath show > document.ini\n" +
			"  radishpath show 41\n" +
			"  radishpath show --history",
		Args: atMostArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if history {
				return c.showHistory(cmd.Context())
			}
			shown, err := c.fetch(cmd.Context(), args)
			if err != nil {
				return err
			}
			if c.output == "json" {
				return c.printJSON(shown)
			}
			return c.printf("%s%d\n%s", marker, shown.Revision, shown.Text)
		},
	}
	show.Flags().BoolVar(&history, "history", false, "list the latest publishes, with the reasons of those without effect")
	return show
}

func (c *Config) fetch(ctx context.Context, args []string) (operator.Document, error) {
	if len(args) == 0 {
		current, err := c.operatorClient().Document(ctx)
		if err != nil {
			return operator.Document{}, fmt.Errorf("show: %w", err)
		}
		return current, nil
	}
	number, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil || number < 0 {
		return operator.Document{}, invalid(fmt.Errorf("%q is no revision", args[0]))
	}
	revision, err := c.operatorClient().Revision(ctx, number)
	if err != nil {
		return operator.Document{}, fmt.Errorf("show: %w", err)
	}
	if !revision.Applied {
		return operator.Document{}, fmt.Errorf("revision %d did not take effect: %s", number, revision.Reason)
	}
	return operator.Document{
		Revision: revision.Revision,
		Text:     revision.Text,
	}, nil
}

func (c *Config) showHistory(ctx context.Context) error {
	history, err := c.operatorClient().History(ctx)
	if err != nil {
		return fmt.Errorf("show history: %w", err)
	}
	if c.output == "json" {
		return c.printJSON(history)
	}
	table := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tPUBLISHED\tAUTHOR\tRESULT")
	for _, revision := range history {
		result := "applied"
		if !revision.Applied {
			result = revision.Reason
		}
		published := "-"
		if !revision.Published.IsZero() {
			published = revision.Published.UTC().Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", revision.Revision, published, revision.Author, result)
	}
	if err = table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
