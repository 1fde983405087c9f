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

// effectTimeout is above the 7 s within which a revision is in effect at target size.
const effectTimeout = 15 * time.Second

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
		Long: "Publish the document into the store and wait until every known entry follows it.\n" +
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
			parsed, err := document.Parse(args[0], []byte(text))
			if err != nil {
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
			return c.withStore(func(conn *storeConn) error {
				return c.publish(cmd.Context(), conn, base, body, parsed.Warnings(), timeout)
			})
		},
	}
	publish.Flags().Int64Var(&base, "base", 0, "revision that the file was edited from")
	publish.Flags().DurationVar(&timeout, "timeout", effectTimeout, "how long to wait until it is in effect")
	return publish
}

// publish publishes a text, prints the warnings and waits for the effect.
func (c *Config) publish(
	ctx context.Context, conn *storeConn, base int64, text string, warnings document.Findings, timeout time.Duration,
) error {
	result, err := conn.publisher.Publish(ctx, base, text)
	if err != nil {
		return publishError(err)
	}
	for _, warning := range warnings {
		_, _ = fmt.Fprintf(c.Stderr, "warning: %s\n", warning)
	}
	return c.reportEffect(ctx, conn, result, warnings, timeout)
}

func (c *Config) reportEffect(
	ctx context.Context, conn *storeConn, result operator.PublishResult, warnings document.Findings, timeout time.Duration,
) error {
	missing, err := conn.effect.Wait(ctx, result.Offset, timeout)
	if err != nil {
		return &ExitError{
			Code: exitPending,
			Err:  fmt.Errorf("revision %d is published; whether it is in effect is not known: %w", result.Revision, err),
		}
	}
	if c.output == "json" {
		err = c.printJSON(published{
			Revision: result.Revision,
			Effect:   len(missing) == 0,
			Missing:  append([]string{}, missing...),
			Warnings: append(document.Findings{}, warnings...),
		})
	} else if len(missing) == 0 {
		err = c.printf("revision %d is in effect everywhere\n", result.Revision)
	}
	if err != nil || len(missing) == 0 {
		return err
	}
	return &ExitError{
		Code: exitPending,
		Err: fmt.Errorf("revision %d is published, but after %s not confirmed by: %s", result.Revision, timeout,
			strings.Join(missing, ", ")),
	}
}

// publishError gives the exit code of a failed publish.
func publishError(err error) error {
	var conflict *operator.ConflictError
	if errors.As(err, &conflict) {
		return &ExitError{
			Code: exitConflict,
			Err: fmt.Errorf("%w\nfrom revision %d to your text:\n%s\nnext: radishpath show, repeat the change, publish",
				err, conflict.Current.Revision, conflict.Diff),
		}
	}
	if errors.Is(err, operator.ErrUnknown) {
		return &ExitError{
			Code: exitUnknown,
			Err:  fmt.Errorf("%w\nnext: radishpath show", err),
		}
	}
	var findings document.Findings
	if errors.As(err, &findings) {
		return invalid(err)
	}
	return fmt.Errorf("publish: %w", err)
}
