package cmd

import (
	"context"
	"fmt"
	"net"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/entry"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/settings"
)

func (c *Config) newEntryCmd() *cobra.Command {
	path := ""
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry, which serves callers and operators",
		Long: "Run an entry, which serves callers and operators. On SIGTERM or SIGINT the entry turns its readiness off,\n" +
			"finishes what it is answering, hands its jobs to another entry and ends.",
		Example: "  radishpath entry --settings entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			read, err := settings.ReadEntry(settings.RealSystem{}, path)
			if err != nil {
				return fmt.Errorf("entry settings: %w", err)
			}
			return c.runEntry(cmd.Context(), read)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "entry.ini", "INI file with the settings")
	return cmd
}

func (c *Config) runEntry(ctx context.Context, read settings.EntrySettings) error {
	logger := c.newLogger("entry", read.Log)
	e, done, err := c.newEntry(read, logger)
	if err != nil {
		return err
	}
	defer done.close()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", read.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	signalled, unhook := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer unhook()
	servers, err := c.startServers(ctx, read, e, done.metrics, logger)
	if err != nil {
		return err
	}
	running := make(chan error, 1)
	go func() { running <- e.Run(signalled, listener) }()
	select {
	case err = <-running:
	case <-signalled.Done():
		servers.drain(ctx, e, read.Linger)
		err = <-running
	}
	servers.close()
	return err
}

// resources are what an entry holds until it ends.
type resources struct {
	metrics metrics
	pool    *peer.Pool
	trace   interface{ Close() error }
}

func (r resources) close() {
	r.pool.Close()
	r.metrics.close()
	_ = r.trace.Close()
}

// newEntry builds the entry. Its id gets a suffix of its own at every start, because a restarted process knows
// nothing of the jobs that its predecessor owned and must adopt them like any other entry.
func (c *Config) newEntry(read settings.EntrySettings, logger hclog.Logger) (*entry.Entry, resources, error) {
	credentials, err := newCredentials(read.TLS)
	if err != nil {
		return nil, resources{}, err
	}
	trace, err := openTrace(read.Log.Decisions)
	if err != nil {
		return nil, resources{}, err
	}
	held := resources{
		metrics: newMetrics("radishpath_entry"),
		trace:   trace,
		pool: peer.NewPool(peer.PoolConfig{
			Logger: logger,
			Clock:  c.Clock,
			TLS:    credentials.client,
		}),
	}
	peers := make([]*peerpb.EntryInfo, 0, len(read.Peers))
	for _, node := range read.Peers {
		peers = append(peers, &peerpb.EntryInfo{
			Id:      node.ID,
			Address: node.Address,
		})
	}
	return entry.New(entry.Config{
		ID:      read.ID + "." + strconv.FormatInt(c.Clock.Now().UnixMilli(), 36),
		Address: read.Listen,
		Zone:    read.Zone,
		Peers:   peers,
		Clock:   c.Clock,
		Logger:  logger,
		Metrics: held.metrics.scope,
		Pool:    held.pool,
		Log: platform.NewLog(platform.LogConfig{
			Address: hostOf(read.LogService),
			Clock:   c.Clock,
			Logger:  logger,
		}),
		Retention: read.Retention,
		Linger:    read.Linger,
		TLS:       credentials.server,
		Trace:     trace,
	}), held, nil
}
