package main

import (
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/standin/storeserver"
)

func newStoreCmd(clock clockwork.Clock) *cobra.Command {
	listenAddress := ""
	command := &cobra.Command{
		Use:   "store",
		Short: "Run an in-memory store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listenAddress, storeserver.New(clock).Endpoint())
		},
	}
	command.Flags().StringVar(&listenAddress, "listen", "127.0.0.1:7070", "address to listen on")
	return command
}
