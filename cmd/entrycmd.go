package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/entry"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
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

// runEntry serves until ctx ends. The callers' connections end first, then the jobs are handed over, and operators are
// served until the end.
func (c *Config) runEntry(ctx context.Context, read settings.EntrySettings) error {
	logger := read.Log.NewLogger("entry", c.Stderr)
	e, held, err := c.newEntry(read, logger)
	if err != nil {
		return err
	}
	defer held.close()
	listeners, err := listen(ctx, read.Listen, read.Caller, read.Admin)
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	admin, stopAdmin := context.WithCancel(run)
	defer stopAdmin()
	unhook := context.AfterFunc(ctx, e.Leave)
	defer unhook()
	served, adminServed, ran := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go func() { ran <- e.Run(run, listeners[0]) }()
	go func() { served <- c.newCallerServer(read, e, logger).Serve(ctx, listeners[1]) }()
	go func() {
		adminServed <- operator.NewServer(e.OperatorConfig(read.Operators, held.metrics.Handler)).Serve(admin, listeners[2])
	}()
	select {
	case err = <-served:
	case err = <-ran:
	case err = <-adminServed:
	}
	stop()
	if err == nil {
		err = <-ran
	}
	return err
}

// listen opens the listeners in the order of the addresses.
func listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (c *Config) newCallerServer(read settings.EntrySettings, e *entry.Entry, logger hclog.Logger) *caller.Server {
	return caller.NewServer(caller.ServerConfig{
		Logger:       logger,
		Clock:        c.Clock,
		Submit:       e.Submit,
		Lookup:       e.Lookup,
		Cancel:       e.Cancel,
		Authenticate: e.Authenticate,
		Ready:        e.Ready,
		Drain:        read.Linger,
	})
}

// resources are what an entry holds until it ends.
type resources struct {
	metrics *operator.Metrics
	pool    *peer.Pool
	trace   io.Closer
}

func (r resources) close() {
	r.pool.Close()
	_ = r.metrics.Close()
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
		metrics: operator.NewMetrics(logger),
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
		Address: read.Advertise,
		Zone:    read.Zone,
		Peers:   peers,
		Clock:   c.Clock,
		Logger:  logger,
		Metrics: held.metrics.Scope,
		Pool:    held.pool,
		Log: logservice.NewLog(logservice.LogConfig{
			Address: hostOf(read.LogService),
			Clock:   c.Clock,
			Logger:  logger,
		}),
		Retention: read.Retention,
		TLS:       credentials.server,
		Trace:     trace,
	}), held, nil
}
