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
	return newProcessCmd("agent", "Run the agent of an executor", settings.ParseAgent, c.runAgent)
}

// runAgent runs the agent until ctx is canceled. Tasks keep running at the executor until their leases expire.
func (c *Config) runAgent(ctx context.Context, path string, processSettings settings.ProcessSettings) error {
	process, err := c.newProcess("agent", path, processSettings)
	if err != nil {
		return err
	}
	defer process.close()
	executor := platform.NewExecutor(platform.ExecutorConfig{
		Address: processSettings.Executor,
	})
	n := node.New(node.Config{
		ID:      processSettings.ID,
		Address: processSettings.Listen,
		Process: c.Clock.Now().UnixMilli(),
		Entries: processSettings.Entries,
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
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	process.logReloadSignals(runCtx)
	peerServerDone, err := process.servePeerProtocol(runCtx, n.Forward)
	if err != nil {
		return err
	}
	_, heartbeatServerDone, err := process.serveHTTP(runCtx, "heartbeats", processSettings.HeartbeatAddress,
		platform.NewHeartbeats(platform.HeartbeatsConfig{
			Logger: process.logger,
			Beat:   n.Beat,
		}))
	if err != nil {
		return err
	}
	_, adminServerDone, err := process.serveHTTP(runCtx, "metrics", processSettings.AdminAddress,
		operator.NewAdmin(process.metrics.Handler))
	if err != nil {
		return err
	}
	nodeDone := make(chan error, 1)
	go func() { nodeDone <- n.Run(runCtx) }()
	select {
	case <-ctx.Done():
	case err = <-peerServerDone:
	case err = <-heartbeatServerDone:
	case err = <-adminServerDone:
	}
	cancel()
	return errors.Join(err, <-nodeDone)
}
