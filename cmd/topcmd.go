package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/operator"
)

// clearScreen moves the cursor home and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// overview is the JSON output of top.
type overview struct {
	Revision   int64                `json:"revision"`
	Workers    []operator.Worker    `json:"workers"`
	Workspaces []operator.Workspace `json:"workspaces"`
	Queue      []operator.Job       `json:"queue"`
}

func (c *Config) newTopCmd() *cobra.Command {
	var interval time.Duration
	top := &cobra.Command{
		Use:   "top",
		Short: "Show workers, workspaces, and why jobs wait",
		Long: "Show workers, workspaces and the queue with the reason why each job waits. On a terminal the table " +
			"refreshes until interrupted; otherwise, and with --output json, it is printed once.\n\n" + exitCodesHelp,
		Example: "  radishpath top\n" +
			"  radishpath top --interval 5s\n" +
			"  radishpath top --output json",
		Args: atMostArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if c.output == "json" || !c.Terminal() {
				return c.topOnce(cmd.Context(), "")
			}
			for {
				if err := c.topOnce(cmd.Context(), clearScreen); err != nil && cmd.Context().Err() == nil {
					return err
				}
				select {
				case <-cmd.Context().Done():
					return nil
				case <-c.Clock.After(interval):
				}
			}
		},
	}
	top.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between refreshes")
	return top
}

func (c *Config) readOverview(ctx context.Context) (overview, error) {
	client := c.operatorClient()
	current, err := client.Document(ctx)
	if err != nil {
		return overview{}, fmt.Errorf("top: %w", err)
	}
	read := overview{
		Revision: current.Revision,
	}
	if read.Workers, err = client.Workers(ctx); err != nil {
		return overview{}, fmt.Errorf("top: workers: %w", err)
	}
	if read.Workspaces, err = client.Workspaces(ctx); err != nil {
		return overview{}, fmt.Errorf("top: workspaces: %w", err)
	}
	if read.Queue, err = client.Queue(ctx); err != nil {
		return overview{}, fmt.Errorf("top: queue: %w", err)
	}
	return read, nil
}

func (c *Config) topOnce(ctx context.Context, prefix string) error {
	read, err := c.readOverview(ctx)
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(read)
	}
	var b strings.Builder
	b.WriteString(prefix)
	writeOverview(&b, read)
	return c.printf("%s", b.String())
}

// writeOverview writes the tables; writes to a strings.Builder do not fail.
func writeOverview(w io.Writer, read overview) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("document revision %d, %d %s, %d waiting", read.Revision, len(read.Workers),
		plural(len(read.Workers), "worker"), len(read.Queue))
	line("\nWORKER\tZONE\tRACK\tSTATE\tFREE\tOUTSTANDING\tREVISION")
	for _, worker := range read.Workers {
		line("%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d", worker.ID, worker.Zone, worker.Rack, worker.State,
			worker.Free, worker.Accelerators, worker.Outstanding, worker.Slots, worker.Revision)
	}
	line("\nWORKSPACE\tSHARE\tGUARANTEES\tRUNNING\tWAITING\tACCELERATORS\tBORROWED")
	for _, workspace := range read.Workspaces {
		line("%s\t%d\t%s\t%d\t%d\t%d\t%d", workspace.Name, workspace.Share, strings.Join(workspace.Guarantees, ", "),
			workspace.Running, workspace.Waiting, workspace.Accelerators, workspace.Borrowed)
	}
	line("\nWAITING JOB\tWORKSPACE\tSHAPE\tREASON")
	for _, job := range read.Queue {
		line("%s\t%s\t%s\t%s", job.ID, job.Workspace, job.Shape, strings.Join(job.Reasons, "; "))
	}
	_ = table.Flush()
}
