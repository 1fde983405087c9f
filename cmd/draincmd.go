package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
)

// maxDrainTries bounds how often drain repeats its edit when other operators publish at the same time.
const maxDrainTries = 5

func (c *Config) newDrainCmd() *cobra.Command {
	return c.newZoneCmd(&cobra.Command{
		Use:   "drain ZONE",
		Short: "Take an availability zone out of service",
		Long: "Take an availability zone out of service: set its state to out in the document, publish, and wait until " +
			"that is in effect everywhere. Nothing starts there then. What runs there is checkpointed and moved, or finishes, " +
			"as the zone's drain key says. Nothing else in the document changes.\n\n" + exitCodesHelp,
		Example: "  radishpath drain curepipe",
	}, false)
}

// newZoneCmd completes drain and undrain.
func (c *Config) newZoneCmd(zone *cobra.Command, in bool) *cobra.Command {
	var timeout time.Duration
	zone.Args = oneArg
	zone.RunE = func(cmd *cobra.Command, args []string) error {
		return c.setZone(cmd.Context(), args[0], in, timeout)
	}
	zone.Flags().DurationVar(&timeout, "timeout", effectTimeout, "how long to wait until it is in effect")
	return zone
}

// setZone edits the current document and publishes it, again on the newer one when another publish came first.
func (c *Config) setZone(ctx context.Context, zone string, in bool, timeout time.Duration) error {
	for try := 1; ; try++ {
		current, err := c.operatorClient().Document(ctx)
		if err != nil {
			return fmt.Errorf("read document: %w", err)
		}
		text, err := document.SetZone(current.Text, zone, in)
		if err != nil {
			return invalid(err)
		}
		if text == current.Text {
			return c.reportEffect(ctx, operator.PublishResult{
				Revision: current.Revision,
			}, timeout)
		}
		result, err := c.operatorClient().Publish(ctx, operator.PublishRequest{
			Base: current.Revision,
			Text: text,
		})
		err = c.reportPublish(ctx, result, err, timeout)
		var exit *ExitError
		if errors.As(err, &exit) && exit.Code == exitConflict && try < maxDrainTries {
			continue
		}
		return err
	}
}
