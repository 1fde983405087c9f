package cmd

import "github.com/spf13/cobra"

func (c *Config) newUndrainCmd() *cobra.Command {
	return c.newZoneStateCmd("undrain", true, "Return an availability zone to service",
		"Tasks can start in the zone again. The command publishes the current document with only the state of the zone "+
			"changed.")
}
