package cmd

import "github.com/spf13/cobra"

func (c *Config) newUndrainCmd() *cobra.Command {
	return c.newZoneCmd(&cobra.Command{
		Use:   "undrain ZONE",
		Short: "Return an availability zone to service",
		Long: "Return an availability zone to service: set its state to in in the document, publish, and wait until that " +
			"is in effect everywhere. Nothing else in the document changes.\n\n" + exitCodesHelp,
		Example: "  radishpath undrain curepipe",
	}, true)
}
