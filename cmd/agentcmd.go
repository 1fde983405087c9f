package cmd

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/node"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/settings"
)

func (c *Config) newAgentCmd() *cobra.Command {
	return newProcessCmd("agent", "Run the agent beside an executor", settings.ParseAgent, c.runAgent)
}

// runAgent works until ctx ends. What runs at the executor goes on under its leases.
func (c *Config) runAgent(ctx context.Context, path string, read settings.ProcessSettings) error {
	process, err := c.newProcess("agent", path, read)
	if err != nil {
		return err
	}
	defer process.close()
	executor := platform.NewExecutor(platform.ExecutorConfig{
		Address: read.ExecutorAddress,
	})
	n := node.New(node.Config{
		ID:      read.ID,
		Address: read.PeerAddress,
		Process: c.Clock.Now().UnixMilli(),
		Entries: read.SeedAddresses,
		Logger:  process.logger,
		Clock:   c.Clock,
		Boot:    boottime.NewClock(),
		Executor: node.ExecutorPort{
			Hold:  executor.Hold,
			Start: executor.Start,
			Stop:  executor.Stop,
		},
		Exchange: process.pool.Exchange,
		Forget:   process.pool.Forget,
	})
	run, stop := context.WithCancel(ctx)
	defer stop()
	process.watchReload(run)
	peersEnded, err := process.servePeers(run, n.Forward)
	if err != nil {
		return err
	}
	_, controlEnded, err := process.serveHTTP(run, "heartbeats", read.HeartbeatAddress,
		platform.NewHeartbeats(platform.HeartbeatsConfig{
			Logger: process.logger,
			Beat:   n.Beat,
		}))
	if err != nil {
		return err
	}
	_, adminEnded, err := process.serveHTTP(run, "metrics", read.AdminAddress, operator.NewAdmin(process.metrics.Handler))
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Run(run) }()
	select {
	case <-ctx.Done():
	case err = <-peersEnded:
	case err = <-controlEnded:
	case err = <-adminEnded:
	}
	stop()
	return errors.Join(err, <-ended)
}
