package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
)

func (c *Config) newDrainCmd() *cobra.Command {
	return c.newZoneStateCmd("drain", false, "Take an availability zone out of service",
		"No task starts in the zone; running tasks finish or move to other zones. The command publishes the current "+
			"document with only the state of the zone changed.")
}

func (c *Config) newZoneStateCmd(name string, inService bool, short, long string) *cobra.Command {
	var timeout time.Duration
	zone := &cobra.Command{
		Use:     name + " ZONE",
		Short:   short,
		Long:    short + ". " + long + "\n\n" + exitCodesHelp,
		Example: "  radishpath " + name + " curepipe",
		Args:    exactlyOneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withStore(func(conn *storeConn) error {
				return c.setZone(cmd.Context(), conn, args[0], inService, timeout)
			})
		},
	}
	zone.Flags().DurationVar(&timeout, "timeout", rolloutTimeout, "how long to wait until the revision is in effect")
	return zone
}

func (c *Config) setZone(
	ctx context.Context, conn *storeConn, zone string, inService bool, timeout time.Duration,
) error {
	current, err := conn.publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("read current document: %w", err)
	}
	text, err := document.SetZone(current.Text, zone, inService)
	if err != nil {
		return invalidInputError(err)
	}
	if text == current.Text {
		// The text is already published, but may not be in effect everywhere yet.
		return c.awaitRollout(ctx, conn, current.PublishResult(), nil, timeout)
	}
	return c.publish(ctx, conn, current.Revision, text, nil, timeout)
}
