package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/agent"
	"radishpath.example/radishpath/backend"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/settings"
)

// leaveLimit bounds a graceful stop of an agent whose tasks neither end nor move.
const leaveLimit = time.Hour

func (c *Config) newAgentCmd() *cobra.Command {
	path := ""
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run the agent beside a backend server and its worker",
		Long: "Run the agent beside a backend server and its worker. On SIGTERM or SIGINT the agent takes no new work\n" +
			"and ends when its tasks and answers are done; a second signal ends it at once.",
		Example: "  radishpath agent --settings agent.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			read, err := settings.ReadAgent(settings.RealSystem{}, path)
			if err != nil {
				return fmt.Errorf("agent settings: %w", err)
			}
			return c.runAgent(cmd.Context(), read)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "agent.ini", "INI file with the settings")
	return cmd
}

func (c *Config) runAgent(ctx context.Context, read settings.AgentSettings) error {
	logger := c.newLogger("agent", read.Log)
	credentials, err := newCredentials(read.TLS)
	if err != nil {
		return err
	}
	pool := peer.NewPool(peer.PoolConfig{
		Logger: logger,
		Clock:  c.Clock,
		TLS:    credentials.client,
	})
	defer pool.Close()
	metrics := newMetrics("radishpath_agent")
	defer metrics.close()
	a := agent.New(agent.Config{
		ID:      read.ID,
		Address: read.Listen,
		Zone:    read.Zone,
		Entries: addresses(read.Entries),
		Clock:   c.Clock,
		Logger:  logger,
		Metrics: metrics.scope,
		Worker: workerPort(platform.NewWorker(platform.WorkerConfig{
			Address: hostOf(read.Worker),
		})),
		Backend: backendPort(backend.NewServer(backend.ServerConfig{
			Address: hostOf(read.Backend),
		})),
		Peers: pool,
		Parse: parseDocument,
		TLS:   credentials.server,
	})
	run, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- a.Run(run) }()
	return c.awaitAgent(ctx, a, stop, ended, logger)
}

// awaitAgent lets the agent leave on the first signal and stops it on the second.
func (c *Config) awaitAgent(
	ctx context.Context, a *agent.Agent, stop context.CancelFunc, ended <-chan error, logger hclog.Logger,
) error {
	signalled, unhook := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer unhook()
	select {
	case err := <-ended:
		return err
	case <-signalled.Done():
	}
	unhook()
	leave, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := a.Leave(leave); err != nil {
		logger.Warn("leave", "error", err)
	}
	stop()
	return <-ended
}
