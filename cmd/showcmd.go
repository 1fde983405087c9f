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
		Long: "Print the current document, or an earlier revision. The first line contains the revision, which " +
			"publish requires. To publish an earlier revision again, pass the current revision with --base.\n\n" + exitCodesHelp,
		Example: "  radishpath show > document.ini\n" +
			"  radishpath show 41\n" +
			"  radishpath show --history",
		Args: atMostArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withStore(func(conn *storeConn) error {
				if history {
					return c.showHistory(cmd.Context(), conn)
				}
				fetched, err := fetchRevision(cmd.Context(), conn, args)
				if err != nil {
					return err
				}
				return c.print(fetched, "%s%d\n%s", revisionHeaderPrefix, fetched.Revision, fetched.Text)
			})
		},
	}
	show.Flags().BoolVar(&history, "history", false, "list the stored revisions")
	return show
}

func fetchRevision(ctx context.Context, conn *storeConn, args []string) (operator.Document, error) {
	if len(args) == 0 {
		current, err := conn.publisher.Current(ctx)
		if err != nil {
			return operator.Document{}, fmt.Errorf("show: %w", err)
		}
		return current, nil
	}
	number, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil || number < 0 {
		return operator.Document{}, invalidInputError(fmt.Errorf("%q is not a revision", args[0]))
	}
	history, err := conn.publisher.History(ctx)
	if err != nil {
		return operator.Document{}, fmt.Errorf("show: %w", err)
	}
	for _, revision := range history {
		if revision.Revision == number {
			return operator.Document{
				Revision: number,
				Text:     revision.Text,
			}, nil
		}
	}
	return operator.Document{}, fmt.Errorf("revision %d is not in the history", number)
}

func (c *Config) showHistory(ctx context.Context, conn *storeConn) error {
	history, err := conn.publisher.History(ctx)
	if err != nil {
		return fmt.Errorf("show: %w", err)
	}
	if c.output == "json" {
		return c.printJSON(append([]operator.Revision{}, history...))
	}
	table := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REVISION\tPUBLISHED\tAUTHOR")
	for _, revision := range history {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\n", revision.Revision, revision.PublishedAt.Format(time.DateTime),
			revision.Author)
	}
	if err = table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
