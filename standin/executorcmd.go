package main

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/standin/executorserver"
)

// maxLease is the maximum lease; the executor shortens longer ones to it.
const maxLease = 10 * time.Second

func newExecutorCmd(clock clockwork.Clock) *cobra.Command {
	listenAddress, agentAddress := "", ""
	config := executorserver.Config{
		MaxLease: maxLease,
		Clock:    clock,
		Recorder: executorserver.NewRecorder(clock),
	}
	command := &cobra.Command{
		Use:   "executor",
		Short: "Run an executor",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			executor := executorserver.New(config)
			go executor.Run(cmd.Context())
			go executor.SendHeartbeats(cmd.Context(), "http://"+agentAddress)
			return serve(cmd.Context(), listenAddress, executor)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listenAddress, "listen", "127.0.0.1:8000", "address to listen on")
	flags.StringVar(&agentAddress, "agent", "127.0.0.1:7082", "address of the agent that receives heartbeats")
	flags.StringVar(&config.ID, "id", "i-1", "executor id")
	flags.StringVar(&config.Service, "service", "desk", "service of the executor")
	flags.StringVar(&config.Zone, "zone", "curepipe", "availability zone")
	flags.StringVar(&config.Rack, "rack", "r1", "rack")
	flags.Int64Var(&config.Accelerators, "accelerators", 8, "number of accelerators")
	return command
}
