package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/agent"
	"radishpath.example/radishpath/backend"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer"
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
			"and ends when its tasks and answers are done.",
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
	logger := read.Log.NewLogger("agent", c.Stderr)
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
	metrics := operator.NewMetrics(logger)
	defer func() { _ = metrics.Close() }()
	a := agent.New(agent.Config{
		ID:        read.ID,
		Address:   read.Listen,
		Advertise: read.Advertise,
		Zone:      read.Zone,
		Entries:   addresses(read.Entries),
		Clock:     c.Clock,
		Logger:    logger,
		Metrics:   metrics.Scope,
		Worker: workerPort(logservice.NewWorker(logservice.WorkerConfig{
			Address: hostOf(read.Worker),
		})),
		Backend: backendPort(backend.NewServer(backend.ServerConfig{
			Address: hostOf(read.Backend),
		})),
		Peers: pool,
		Parse: parseDocument,
		TLS:   credentials.server,
	})
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served, err := c.serveAgentAdmin(run, read, metrics, logger)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- a.Run(run) }()
	err = awaitAgent(ctx, a, stop, ended, logger)
	stop()
	return errors.Join(err, <-served)
}

// serveAgentAdmin serves health, metrics and profiles to operators.
func (c *Config) serveAgentAdmin(
	ctx context.Context, read settings.AgentSettings, metrics *operator.Metrics, logger hclog.Logger,
) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", read.Admin)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	server := operator.NewServer(operator.ServerConfig{
		Logger:    logger,
		Clock:     c.Clock,
		Operators: read.Operators,
		Metrics:   metrics.Handler,
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	return served, nil
}

// awaitAgent lets the agent leave when ctx ends, and then stops it.
func awaitAgent(
	ctx context.Context, a *agent.Agent, stop context.CancelFunc, ended <-chan error, logger hclog.Logger,
) error {
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveLimit)
	defer cancel()
	if err := a.Leave(leave); err != nil {
		logger.Warn("leave", "error", err)
	}
	stop()
	return <-ended
}
