package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
)

func (c *Config) newDrainCmd() *cobra.Command {
	return c.newZoneCmd("drain", false, "Take an availability zone out of service",
		"Nothing new starts in the zone; what runs there finishes or moves. The command publishes the current document "+
			"with nothing but the zone's state changed.")
}

func (c *Config) newZoneCmd(name string, in bool, short, long string) *cobra.Command {
	var timeout time.Duration
	zone := &cobra.Command{
		Use:     name + " ZONE",
		Short:   short,
		Long:    short + ". " + long + "\n\n" + exitCodesHelp,
		Example: "  radishpath " + name + " curepipe",
		Args:    oneArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.withStore(func(conn *storeConn) error {
				return c.setZone(cmd.Context(), conn, args[0], in, timeout)
			})
		},
	}
	zone.Flags().DurationVar(&timeout, "timeout", effectTimeout, "how long to wait until it is in effect")
	return zone
}

func (c *Config) setZone(ctx context.Context, conn *storeConn, zone string, in bool, timeout time.Duration) error {
	current, err := conn.publisher.Current(ctx)
	if err != nil {
		return fmt.Errorf("read the document: %w", err)
	}
	text, err := document.SetZone(current.Text, zone, in)
	if err != nil {
		return invalid(err)
	}
	if text == current.Text {
		// Nothing to publish; the effect is waited for all the same.
		return c.reportEffect(ctx, conn, current.PublishResult(), nil, timeout)
	}
	return c.publish(ctx, conn, current.Revision, text, nil, timeout)
}
