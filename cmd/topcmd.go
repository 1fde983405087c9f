package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// clearScreen moves the cursor home and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// overview is the JSON output of top.
type overview struct {
	Revision          int64               `json:"revision"`
	Scheduler         string              `json:"scheduler"`
	Entries           []string            `json:"entries"`
	ZonesOutOfService []string            `json:"out"`
	Queues            []queueOverview     `json:"queues"`
	Waiting           []waitingJob        `json:"waiting"`
	WorkspaceUsage    []workspaceOverview `json:"workspaces"`
}

// queueOverview counts the jobs of a queue by their state.
type queueOverview struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Ended   int    `json:"ended"`
}

// workspaceOverview shows the guarantee and the usage of a workspace.
type workspaceOverview struct {
	Name       string `json:"name"`
	Guaranteed int64  `json:"guaranteed"`
	// Running is the number of accelerators used by its running jobs.
	Running int64 `json:"running"`
	Waiting int   `json:"waiting"`
}

// waitingJob is a job that has not started.
type waitingJob struct {
	ID        string        `json:"id"`
	Workspace string        `json:"workspace"`
	Queue     string        `json:"queue"`
	Shape     string        `json:"shape"`
	WaitTime  time.Duration `json:"since"`
}

func (c *Config) newTopCmd() *cobra.Command {
	var interval time.Duration
	top := &cobra.Command{
		Use:   "top",
		Short: "Show queues, workspaces and waiting jobs",
		Long: "Show the scheduler, the entries, queues and workspaces, and waiting jobs. On a terminal the table " +
			"refreshes until interrupted; otherwise, and with --output json, it is printed once.\n\n" + exitCodesHelp,
		Example: "  radishpath top\n" +
			"  radishpath top --interval 5s\n" +
			"  radishpath top --output json",
		Args: atMostArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withStore(func(conn *storeConn) error {
				return c.runTop(cmd.Context(), conn, interval)
			})
		},
	}
	top.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between refreshes")
	return top
}

func (c *Config) runTop(ctx context.Context, conn *storeConn, interval time.Duration) error {
	if c.output == "json" || !c.Terminal() {
		return c.printOverview(ctx, conn, "")
	}
	for {
		if err := c.printOverview(ctx, conn, clearScreen); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(interval):
		}
	}
}

func (c *Config) printOverview(ctx context.Context, conn *storeConn, screenPrefix string) error {
	current, err := conn.publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("top: %w", err)
	}
	cellState, _, err := conn.cellState(ctx)
	if err != nil {
		return fmt.Errorf("top: %w", err)
	}
	status := newOverview(current.Operations, cellState, c.Clock.Now())
	var b strings.Builder
	b.WriteString(screenPrefix)
	writeOverview(&b, status)
	return c.print(status, "%s", b.String())
}

func newOverview(operations cell.Operations, state *cell.State, now time.Time) overview {
	result := overview{
		Revision:          operations.Config.Version,
		Scheduler:         state.Claim().GetAddress(),
		Entries:           slices.Sorted(maps.Keys(state.Members())),
		ZonesOutOfService: slices.Sorted(maps.Keys(operations.EvacuatedZones)),
	}
	queues := map[string]*queueOverview{}
	workspaces := map[string]*workspaceOverview{}
	for _, queue := range operations.Config.Queues {
		queues[queue.Name] = &queueOverview{Name: queue.Name}
	}
	for _, workspace := range operations.Config.Workspaces {
		workspaces[workspace.Name] = &workspaceOverview{
			Name:       workspace.Name,
			Guaranteed: workspace.Guaranteed,
		}
	}
	for _, jobState := range state.Jobs() {
		queue := getOrCreate(queues, jobState.Job.GetQueue(), func(name string) *queueOverview {
			return &queueOverview{Name: name}
		})
		workspace := getOrCreate(workspaces, jobState.Job.GetWorkspace(), func(name string) *workspaceOverview {
			return &workspaceOverview{Name: name}
		})
		switch jobState.State() {
		case cellpb.State_STATE_QUEUED:
			queue.Waiting++
			workspace.Waiting++
			result.Waiting = append(result.Waiting, newWaitingJob(jobState.Job, now))
		case cellpb.State_STATE_RUNNING:
			queue.Running++
			workspace.Running += runningAccelerators(jobState)
		default:
			queue.Ended++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		result.Queues = append(result.Queues, *queues[name])
	}
	for _, name := range slices.Sorted(maps.Keys(workspaces)) {
		result.WorkspaceUsage = append(result.WorkspaceUsage, *workspaces[name])
	}
	slices.SortFunc(result.Waiting, func(a, b waitingJob) int {
		return cmp.Or(cmp.Compare(b.WaitTime, a.WaitTime), cmp.Compare(a.ID, b.ID))
	})
	return result
}

func getOrCreate[T any](items map[string]*T, name string, create func(name string) *T) *T {
	if _, ok := items[name]; !ok {
		items[name] = create(name)
	}
	return items[name]
}

func newWaitingJob(job *cellpb.Job, now time.Time) waitingJob {
	steps := make([]string, 0, len(job.GetSteps()))
	for _, step := range job.GetSteps() {
		steps = append(steps, fmt.Sprintf("%dx%d", step.GetCount(), step.GetAccelerators()))
	}
	return waitingJob{
		ID:        job.GetId(),
		Workspace: job.GetWorkspace(),
		Queue:     job.GetQueue(),
		Shape:     strings.Join(steps, "+"),
		WaitTime:  now.Sub(time.UnixMilli(job.GetAcceptedMs())).Round(time.Second),
	}
}

// runningAccelerators returns the number of accelerators of all tasks that are assigned to an agent and may be running.
func runningAccelerators(jobState cell.JobState) int64 {
	total := int64(0)
	for _, task := range jobState.Progress.GetTasks() {
		if task.GetAgent() != "" && int(task.GetStep()) < len(jobState.Job.GetSteps()) {
			total += jobState.Job.GetSteps()[task.GetStep()].GetAccelerators()
		}
	}
	return total
}

// writeOverview writes the tables. Write errors are ignored, because w is a strings.Builder.
func writeOverview(w io.Writer, o overview) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeLine := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	writeLine("document revision %d, scheduler at %s, %d %s, %d waiting", o.Revision, o.Scheduler, len(o.Entries),
		pluralEntry(len(o.Entries)), len(o.Waiting))
	if len(o.ZonesOutOfService) > 0 {
		writeLine("out of service: %s", strings.Join(o.ZonesOutOfService, ", "))
	}
	writeLine("\nQUEUE\tWAITING\tRUNNING\tENDED")
	for _, queue := range o.Queues {
		writeLine("%s\t%d\t%d\t%d", queue.Name, queue.Waiting, queue.Running, queue.Ended)
	}
	writeLine("\nWORKSPACE\tGUARANTEED\tACCELERATORS\tWAITING")
	for _, workspace := range o.WorkspaceUsage {
		writeLine("%s\t%d\t%d\t%d", workspace.Name, workspace.Guaranteed, workspace.Running, workspace.Waiting)
	}
	writeLine("\nWAITING JOB\tWORKSPACE\tQUEUE\tSHAPE\tSINCE")
	for _, job := range o.Waiting {
		writeLine("%s\t%s\t%s\t%s\t%s", job.ID, job.Workspace, job.Queue, job.Shape, job.WaitTime)
	}
	_ = table.Flush()
}

func pluralEntry(count int) string {
	if count == 1 {
		return "entry"
	}
	return "entries"
}
