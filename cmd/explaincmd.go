package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// explainTimeout bounds the request to one entry.
const explainTimeout = 2 * time.Second

// explainFlags are the flags of the job in question, those of submit, and who would submit it.
type explainFlags struct {
	jobFlags

	id        string
	workspace string
}

func (c *Config) newExplainCmd() *cobra.Command {
	var flags explainFlags
	explain := &cobra.Command{
		Use:   "explain",
		Short: "Explain where a job would go now, without submitting it",
		Long: "Explain where each task of a job would go now and why, or what it waits for. Nothing is submitted or " +
			"stored. With --id, explain where a known job stands.\n\n" + exitCodesHelp,
		Example: "  radishpath explain --queue quotes --members 3 --accelerators 4 --declared 2s\n" +
			"  radishpath explain --id 00000000000000a1 --output json",
		Args: atMostArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withStore(func(conn *storeConn) error {
				return c.runExplain(cmd.Context(), conn, flags)
			})
		},
	}
	set := explain.Flags()
	set.StringVar(&flags.id, "id", "", "id of a known job")
	set.StringVar(&flags.workspace, "workspace", "", "workspace whose guarantee counts")
	flags.add(explain)
	return explain
}

func (c *Config) runExplain(ctx context.Context, conn *storeConn, flags explainFlags) error {
	current, err := conn.publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	request := &cellpb.Explain{
		Id: flags.id,
	}
	if flags.id == "" {
		if request.Job, err = flags.job(current.Operations.Config); err != nil {
			return invalidInputError(err)
		}
	}
	explanation, err := conn.explain(ctx, request)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if c.output == "json" {
		encoded, encodeErr := protojson.MarshalOptions{
			EmitUnpopulated: true,
		}.Marshal(explanation)
		if encodeErr != nil {
			return fmt.Errorf("explain: %w", encodeErr)
		}
		return c.printf("%s\n", encoded)
	}
	return c.printf("%s", explanationText(explanation))
}

// job returns the job that submit would store with the flags.
func (f *explainFlags) job(config cell.Config) (*cellpb.Job, error) {
	body, err := json.Marshal(f.submission())
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	parsed, err := caller.ParseSubmission(body, f.workspace)
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	queue, ok := config.SelectQueue(parsed.Queue)
	if !ok {
		return nil, fmt.Errorf("queue %q is not in the document", parsed.Queue)
	}
	job := parsed.CellJob()
	job.Id = strings.Repeat("0", 16)
	job.Queue = queue.Name
	job.Service = queue.Service
	job.Workspace = parsed.Workspace
	if err = cell.ValidateJob(job); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return job, nil
}

// explain asks the entries in turn until one of them answers.
func (s *storeConn) explain(ctx context.Context, request *cellpb.Explain) (*cellpb.Explanation, error) {
	addresses, err := s.entryAddresses(ctx)
	if err != nil {
		return nil, err
	}
	joinedErr := errors.New("no entry answers")
	for _, id := range slices.Sorted(maps.Keys(addresses)) {
		reply := &cellpb.Reply{}
		callCtx, cancel := context.WithTimeout(ctx, explainTimeout)
		callErr := s.pool.Call(callCtx, addresses[id], &cellpb.Request{
			Body: &cellpb.Request_Explain{
				Explain: request,
			},
		}, reply)
		cancel()
		switch {
		case callErr != nil:
			joinedErr = errors.Join(joinedErr, fmt.Errorf("%s: %w", id, callErr))
		case reply.GetExplanation() == nil:
			joinedErr = errors.Join(joinedErr, fmt.Errorf("%s: %s", id, reply.GetError()))
		default:
			return reply.GetExplanation(), nil
		}
	}
	return nil, joinedErr
}

func explanationText(explanation *cellpb.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", explanation.GetDecision(), explanation.GetReason())
	if explanation.GetWaitMs() >= 0 && explanation.GetRunMs() > 0 {
		fmt.Fprintf(&b, "expected: starts in %s, runs %s, objective %s, in time: %t\n",
			milliseconds(explanation.GetWaitMs()), milliseconds(explanation.GetRunMs()),
			milliseconds(explanation.GetObjectiveMs()), explanation.GetInTime())
	}
	if explanation.GetPreempted() > 0 {
		fmt.Fprintf(&b, "stops %d runs, guaranteed: %t\n", explanation.GetPreempted(), explanation.GetGuaranteed())
	}
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if len(explanation.GetPlaces()) > 0 {
		_, _ = fmt.Fprintln(table, "TASK\tAGENT\tEXECUTOR\tRUN TIME")
	}
	for _, place := range explanation.GetPlaces() {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%d%%\n", place.GetTask(), place.GetAgent(), place.GetExecutor(),
			place.GetSlowdown())
	}
	if len(explanation.GetPassed()) > 0 {
		_, _ = fmt.Fprintln(table, "PASSED OVER\tEXECUTORS\tFOR EXAMPLE")
	}
	for _, passed := range explanation.GetPassed() {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\n", passed.GetReason(), passed.GetExecutors(), passed.GetAgent())
	}
	_ = table.Flush()
	fmt.Fprintf(&b, "%d executors, oldest report %s old\n", explanation.GetExecutors(),
		milliseconds(explanation.GetAgeMs()))
	return b.String()
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
