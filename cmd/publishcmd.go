package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
)

const (
	// effectTimeout is above the 7 s within which a revision is in effect at target size.
	effectTimeout = 15 * time.Second
	pollInterval  = 200 * time.Millisecond
)

// published is the JSON output of publish, drain and undrain.
type published struct {
	Revision int64             `json:"revision"`
	Effect   bool              `json:"effect"`
	Missing  []string          `json:"missing"`
	Warnings document.Findings `json:"warnings"`
}

func (c *Config) newPublishCmd() *cobra.Command {
	var base int64
	var timeout time.Duration
	publish := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish the document and wait until it is in effect everywhere",
		Long: "Publish the document and wait until every known entry and announced agent has confirmed it.\n" +
			"The file must name the revision that it was edited from: keep the first line that show prints, or use --base. " +
			"If another operator published in the meantime, nothing is published and the diff is printed.\n\n" +
			exitCodesHelp,
		Example: "  radishpath show > document.ini\n" +
			"  vi document.ini\n" +
			"  radishpath publish document.ini\n" +
			"  radishpath publish --base 0 first.ini",
		Args: oneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := c.readInput(args[0])
			if err != nil {
				return err
			}
			if _, err = document.Parse(args[0], []byte(text)); err != nil {
				return invalid(err)
			}
			body, marked, found := splitMarker(text)
			if !cmd.Flags().Changed("base") {
				if !found {
					return invalid(fmt.Errorf("%s does not name the revision that it was edited from; start from radishpath show, "+
						"or give --base (0 for the first document)", args[0]))
				}
				base = marked
			}
			result, err := c.operatorClient().Publish(cmd.Context(), operator.PublishRequest{
				Base: base,
				Text: body,
			})
			relocate(result.Warnings, args[0], strings.Count(text, "\n")-strings.Count(body, "\n"))
			return c.reportPublish(cmd.Context(), result, err, timeout)
		},
	}
	publish.Flags().Int64Var(&base, "base", 0, "revision that the file was edited from")
	publish.Flags().DurationVar(&timeout, "timeout", effectTimeout, "how long to wait until it is in effect")
	return publish
}

// awaitEffect polls until a revision is in effect everywhere or the time is up.
func (c *Config) awaitEffect(ctx context.Context, revision int64, timeout time.Duration) (operator.Status, error) {
	deadline := c.Clock.Now().Add(timeout)
	for {
		status, err := c.operatorClient().Status(ctx, revision)
		if err == nil && status.Effect {
			return status, nil
		}
		if !c.Clock.Now().Before(deadline) {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("wait until revision %d is in effect: %w", revision, context.Cause(ctx))
		case <-c.Clock.After(pollInterval):
		}
	}
}

// reportPublish reports what became of a publish and whether the revision is in effect.
func (c *Config) reportPublish(
	ctx context.Context, result operator.PublishResult, err error, timeout time.Duration,
) error {
	if err != nil {
		return publishError(err)
	}
	for _, warning := range result.Warnings {
		_, _ = fmt.Fprintf(c.Stderr, "warning: %s\n", warning)
	}
	return c.reportEffect(ctx, result, timeout)
}

func (c *Config) reportEffect(ctx context.Context, result operator.PublishResult, timeout time.Duration) error {
	status, err := c.awaitEffect(ctx, result.Revision, timeout)
	if err != nil {
		return &ExitError{
			Code: exitPending,
			Err:  fmt.Errorf("revision %d is published; whether it is in effect is not known: %w", result.Revision, err),
		}
	}
	if c.output == "json" {
		err = c.printJSON(published{
			Revision: result.Revision,
			Effect:   status.Effect,
			Missing:  status.Missing,
			Warnings: append(document.Findings{}, result.Warnings...),
		})
	} else if status.Effect {
		err = c.printf("revision %d is in effect everywhere\n", result.Revision)
	}
	if err != nil || status.Effect {
		return err
	}
	missing := strings.Join(status.Missing, ", ")
	if missing == "" {
		missing = "the entry itself"
	}
	return &ExitError{
		Code: exitPending,
		Err:  fmt.Errorf("revision %d is published, but after %s not confirmed by: %s", result.Revision, timeout, missing),
	}
}

// publishError gives the exit code of a failed publish.
func publishError(err error) error {
	var conflict *operator.ConflictError
	if errors.As(err, &conflict) {
		return &ExitError{
			Code: exitConflict,
			Err: fmt.Errorf("%s\nfrom revision %d to your text:\n%s\nnext: radishpath show, repeat the change, publish",
				conflict.Reason, conflict.Current.Revision, conflict.Diff),
		}
	}
	if isNeverSent(err) {
		return fmt.Errorf("nothing was published: %w", err)
	}
	var status *operator.StatusError
	if !errors.As(err, &status) || status.Code >= http.StatusInternalServerError {
		return &ExitError{
			Code: exitUnknown,
			Err:  fmt.Errorf("%w\nwhether it was published is unknown; next: radishpath show --history", err),
		}
	}
	if status.Code == http.StatusUnprocessableEntity || status.Code == http.StatusBadRequest {
		return invalid(err)
	}
	return fmt.Errorf("publish: %w", err)
}
