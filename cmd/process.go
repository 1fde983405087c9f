package cmd

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/connlimit"
	"radishpath.example/radishpath/logsink"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/recovery"
	"radishpath.example/radishpath/settings"
)

// goMemoryLimitFraction is the fraction of the process memory that is set as the memory limit of the Go runtime. Near
// that limit the garbage collector runs more often.
const goMemoryLimitFraction = 0.6

// Topics of the store for cell state and for document texts.
const (
	cellTopic     = "keyed.cell"
	documentTopic = "keyed.document"
)

// process contains the components common to entries and agents.
type process struct {
	// read contains the settings as read at startup.
	read    settings.ProcessSettings
	logger  hclog.Logger
	logSink *logsink.Sink
	metrics *operator.Metrics
	pool    *peer.Pool
	// serverTLS is nil if processes communicate over plain TCP.
	serverTLS *tls.Config
	// clients and peers limit the connections of the HTTP servers and of the peer protocol.
	clients *connlimit.Limiter
	peers   *connlimit.Limiter
}

// newProcessCmd returns the command that runs a process of a role until its context ends.
func newProcessCmd(
	role, short string, parse func(name string, text []byte) (settings.ProcessSettings, error),
	run func(ctx context.Context, path string, processSettings settings.ProcessSettings) error,
) *cobra.Command {
	path, files := "", 0
	cmd := &cobra.Command{
		Use:     role,
		Short:   short,
		Example: "  radishpath " + role + " --settings " + role + ".ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			processSettings, err := settings.ReadProcess(settings.OSFileSystem{}, path, parse)
			if err != nil {
				return fmt.Errorf("%s settings: %w", role, err)
			}
			if files > 0 {
				processSettings.Files = files
			}
			return run(cmd.Context(), path, processSettings)
		},
	}
	cmd.Flags().StringVar(&path, "settings", role+".ini", "INI settings file")
	cmd.Flags().IntVar(&files, "files", 0, "descriptors that the process may open (default: the key files)")
	return cmd
}

func (c *Config) newProcess(role, path string, read settings.ProcessSettings) (*process, error) {
	tlsConfigs, err := loadTLSConfigs(read.TLS)
	if err != nil {
		return nil, err
	}
	logSink := logsink.New(logsink.Config{
		Output: c.Stdout,
		Clock:  c.Clock,
	})
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       role,
		Level:      hclog.LevelFromString(read.Log.Level),
		JSONFormat: true,
		Output:     logSink,
	}).With("process", read.ID)
	if read.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryLimitFraction * float64(read.MemoryMB) * (1 << 20)))
	}
	logger.Info("process starting", "settings", path, "zone", read.Zone,
		"listen", read.Listen, "store", read.StoreAddress)
	created := &process{
		read:    read,
		logger:  logger,
		logSink: logSink,
		metrics: operator.NewMetrics(logger),
		pool: peer.NewPool(peer.PoolConfig{
			Logger:                 logger,
			Clock:                  c.Clock,
			MaxConsecutiveTimeouts: 1,
			TLS:                    tlsConfigs.client,
		}),
		serverTLS: tlsConfigs.server,
	}
	created.clients, created.peers = created.newLimiters(c)
	return created, nil
}

func (p *process) close() {
	p.pool.Close()
	if err := p.metrics.Close(); err != nil {
		p.logger.Warn("failed to close metrics", "error", err)
	}
	p.logger.Info("process stopped")
	p.logSink.Close()
}

// tlsConfigs contains the TLS configurations of a process. They are nil for plain TCP.
type tlsConfigs struct {
	client *tls.Config
	server *tls.Config
}

func loadTLSConfigs(tlsSettings settings.TLSSettings) (tlsConfigs, error) {
	if !tlsSettings.Enabled() {
		return tlsConfigs{}, nil
	}
	credentials, err := settings.NewCredentials(settings.OSFileSystem{}, tlsSettings)
	if err != nil {
		return tlsConfigs{}, fmt.Errorf("load credentials: %w", err)
	}
	return tlsConfigs{
		client: credentials.ClientConfig(),
		server: credentials.ServerConfig(),
	}, nil
}

// servePeerProtocol serves the peer protocol until ctx ends.
func (p *process) servePeerProtocol(
	ctx context.Context, handle func(ctx context.Context, request *cellpb.Request) *cellpb.Reply,
) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.read.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	server := peer.NewServer(peer.ServerConfig{
		Logger:  p.logger,
		TLS:     p.serverTLS,
		Limiter: p.peers,
		Handler: func(ctx context.Context, read func(proto.Message) error) (proto.Message, error) {
			request := &cellpb.Request{}
			if err := read(request); err != nil {
				return nil, err
			}
			reply := &cellpb.Reply{}
			err := recovery.Run(p.logger, p.metrics.Scope, "peers", func() error {
				reply = handle(ctx, request)
				return nil
			})
			return reply, err
		},
	})
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(ctx, listener) }()
	return serverDone, nil
}

// bodyLimits are the bounds on the bodies of requests to an HTTP server.
type bodyLimits struct {
	// max returns the largest size in bytes; nil means that there are no bodies.
	max func() int64
	// cost is the memory that a byte of a body takes while the request is handled, in bytes.
	cost int64
}

// serveHTTP serves a handler until the server is shut down.
func (p *process) serveHTTP(
	ctx context.Context, name, address string, handler http.Handler, bodies bodyLimits,
) (*http.Server, <-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	server := p.clients.NewServer(connlimit.ServerConfig{
		Handler:  recovery.Handler(p.logger, p.metrics.Scope, name, handler),
		ErrorLog: p.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		MaxHead:  p.read.MaxHeadKB << 10,
		MaxBody:  bodies.max,
		BodyCost: bodies.cost,
	})
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(p.clients.Listen(listener)) }()
	return server, serverDone, nil
}

// serveAdmin serves metrics and profiles. The channel receives the error that ends the server.
func (p *process) serveAdmin(ctx context.Context, address string) (<-chan error, error) {
	_, serverDone, err := p.serveHTTP(ctx, "metrics", address, operator.NewAdmin(p.metrics.Handler), bodyLimits{})
	return serverDone, err
}

// watchSettings calls apply whenever the settings file changes, until ctx ends. SIGHUP announces a change.
func (p *process) watchSettings(
	ctx context.Context, config settings.WatcherConfig, apply func(seedAddresses []string),
) <-chan error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	config.Logger = p.logger
	config.Files = settings.NewOSFileSystem()
	config.Current = p.read
	config.Signals = signals
	config.Apply = func(changed settings.ProcessSettings) { apply(changed.SeedAddresses) }
	watcherDone := make(chan error, 1)
	go func() {
		defer signal.Stop(signals)
		watcherDone <- settings.NewWatcher(config).Run(ctx)
	}()
	return watcherDone
}
