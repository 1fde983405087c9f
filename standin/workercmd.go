package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/standin/workerserver"
)

const (
	defaultAccelerators = 8
	defaultCores        = 30
	defaultMemory       = 64 << 30
	defaultSlots        = 8
	defaultLag          = 2 * time.Second
	recordMode          = 0o600
	// defaultConnections is the "about 60" of docs/design.md section 1, with a few to spare for tests that read the
	// record.
	defaultConnections = 64
)

func (c *config) newWorkerCmd() *cobra.Command {
	server := workerserver.Config{
		Clock: c.clock,
	}
	record := ""
	connections := 0
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Run a worker and backend server in memory",
		Example: "  standin worker --listen 127.0.0.1:7200 --id w1 --zone suva --rack r1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server.Logger = c.logger("worker")
			if record != "" {
				file, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
				if err != nil {
					return fmt.Errorf("open record: %w", err)
				}
				defer func() { _ = file.Close() }()
				server.Record = file
			}
			worker, err := workerserver.New(server)
			if err != nil {
				return fmt.Errorf("configure worker: %w", err)
			}
			return c.serve(cmd.Context(), worker.Handler(), connections)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&server.ID, "id", "", "id of the worker and backend server")
	flags.StringVar(&server.Zone, "zone", "", "availability zone")
	flags.StringVar(&server.Rack, "rack", "", "rack")
	flags.IntVar(&server.Accelerators, "accelerators", defaultAccelerators, "accelerators")
	flags.IntVar(&server.Cores, "cores", defaultCores, "cores")
	flags.Int64Var(&server.Memory, "memory", defaultMemory, "memory in bytes")
	flags.IntVar(&server.Slots, "slots", defaultSlots, "requests that run at the same time")
	flags.DurationVar(&server.Lag, "lag", defaultLag, "delay with which usage is reported")
	flags.StringVar(&server.Checkpoints, "checkpoints", "", "directory for checkpoints, shared between workers")
	flags.IntVar(&connections, "connections", defaultConnections, "connections accepted at the same time, 0 for any")
	flags.StringVar(&record, "record", "", "file that also receives the record")
	return cmd
}
