package cmd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
)

// rolloutTimeout exceeds the 7 s that a revision may take to be in effect in a cell of the target size.
const rolloutTimeout = 15 * time.Second

// publishOutput is the JSON output of publish, drain and undrain.
type publishOutput struct {
	Revision int64             `json:"revision"`
	InEffect bool              `json:"effect"`
	Missing  []string          `json:"missing"`
	Warnings document.Findings `json:"warnings"`
}

func (c *Config) newPublishCmd() *cobra.Command {
	var baseRevision int64
	var timeout time.Duration
	publish := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish the document and wait until it is in effect everywhere",
		Long: "Publish the document to the store and wait until every known entry has applied it.\n" +
			"The file must contain the revision that it was edited from: keep the first line printed by show, or use --base. " +
			"If another operator published in the meantime, nothing is published and the diff is printed.\n\n" +
			exitCodesHelp,
		Example: "  radishpath show > document.ini\n" +
			"  vi document.ini\n" +
			"  radishpath publish document.ini\n" +
			"  radishpath publish --base 0 first.ini",
		Args: exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := c.readInput(args[0])
			if err != nil {
				return err
			}
			parsed, err := document.Parse(args[0], []byte(text))
			if err != nil {
				return invalidInputError(err)
			}
			body, headerRevision, hasHeader := splitRevisionHeader(text)
			if !cmd.Flags().Changed("base") {
				if !hasHeader {
					return invalidInputError(fmt.Errorf("%s does not name the revision that it was edited from; "+
						"start from the output of radishpath show, or pass --base (0 for the first document)", args[0]))
				}
				baseRevision = headerRevision
			}
			return c.withStore(func(conn *storeConn) error {
				return c.publish(cmd.Context(), conn, baseRevision, body, parsed.Warnings(), timeout)
			})
		},
	}
	publish.Flags().Int64Var(&baseRevision, "base", 0, "revision that the file was edited from")
	publish.Flags().DurationVar(&timeout, "timeout", rolloutTimeout, "how long to wait until the revision is in effect")
	return publish
}

// publish publishes a text, prints the warnings and waits until the revision is in effect.
func (c *Config) publish(
	ctx context.Context, conn *storeConn, baseRevision int64, text string, warnings document.Findings,
	timeout time.Duration,
) error {
	result, err := conn.publisher.Publish(ctx, baseRevision, text)
	if err != nil {
		return publishError(err)
	}
	for _, warning := range warnings {
		_, _ = fmt.Fprintf(c.Stderr, "warning: %s\n", warning)
	}
	return c.awaitRollout(ctx, conn, result, warnings, timeout)
}

func (c *Config) awaitRollout(
	ctx context.Context, conn *storeConn, result operator.PublishResult, warnings document.Findings, timeout time.Duration,
) error {
	lagging, err := conn.rollout.Wait(ctx, result.Offset, timeout)
	if err != nil {
		return &ExitError{
			Code: exitPending,
			Err:  fmt.Errorf("revision %d is published; it is unknown whether it is in effect: %w", result.Revision, err),
		}
	}
	if c.output == "json" {
		err = c.printJSON(publishOutput{
			Revision: result.Revision,
			InEffect: len(lagging) == 0,
			Missing:  append([]string{}, lagging...),
			Warnings: append(document.Findings{}, warnings...),
		})
	} else if len(lagging) == 0 {
		err = c.printf("revision %d is in effect everywhere\n", result.Revision)
	}
	if err != nil || len(lagging) == 0 {
		return err
	}
	return &ExitError{
		Code: exitPending,
		Err: fmt.Errorf("revision %d is published, but after %s not confirmed by: %s", result.Revision, timeout,
			strings.Join(lagging, ", ")),
	}
}

// publishError adds the exit code to the error of a failed publish.
func publishError(err error) error {
	var conflict *operator.ConflictError
	if errors.As(err, &conflict) {
		return &ExitError{
			Code: exitConflict,
			Err: fmt.Errorf(
				"%w\nchanges from revision %d to your text:\n%s\nrun radishpath show, repeat the change and publish again",
				err, conflict.Current.Revision, conflict.Diff),
		}
	}
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return &ExitError{
			Code: exitUnknown,
			Err:  fmt.Errorf("%w\nrun radishpath show to find out", err),
		}
	}
	var findings document.Findings
	if errors.As(err, &findings) {
		return invalidInputError(err)
	}
	return fmt.Errorf("publish: %w", err)
}
