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
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/logsink"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/settings"
)

// memoryShare is the part of a process's memory that the Go runtime may fill before it collects more often.
const memoryShare = 0.6

// Logs of the store: that of the cell, and that of the documents' texts.
const (
	cellTopic     = "keyed.cell"
	documentTopic = "keyed.document"
)

// process is what entries and agents have.
type process struct {
	read    settings.ProcessSettings
	logger  hclog.Logger
	sink    *logsink.Sink
	metrics *operator.Metrics
	pool    *peer.Pool
	// tls is nil for plain TCP between processes.
	tls *tls.Config
}

// newProcessCmd returns the command of a role, which reads the settings and runs until its context ends.
func newProcessCmd(
	role, short string, parse func(name string, text []byte) (settings.ProcessSettings, error),
	run func(ctx context.Context, path string, read settings.ProcessSettings) error,
) *cobra.Command {
	path := ""
	cmd := &cobra.Command{
		Use:     role,
		Short:   short,
		Example: "  radishpath " + role + " --settings " + role + ".ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			read, err := settings.ReadProcess(settings.OSFileSystem{}, path, parse)
			if err != nil {
				return fmt.Errorf("%s settings: %w", role, err)
			}
			return run(cmd.Context(), path, read)
		},
	}
	cmd.Flags().StringVar(&path, "settings", role+".ini", "INI file with the settings")
	return cmd
}

func (c *Config) newProcess(role, path string, read settings.ProcessSettings) (*process, error) {
	credentials, err := newCredentials(read.TLS)
	if err != nil {
		return nil, err
	}
	sink := logsink.New(logsink.Config{
		Output: c.Stdout,
		Clock:  c.Clock,
	})
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       role,
		Level:      hclog.LevelFromString(read.Log.Level),
		JSONFormat: true,
		Output:     sink,
	}).With("process", read.ID)
	if read.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(read.MemoryMB) * (1 << 20)))
	}
	logger.Info("start", "settings", path, "zone", read.Zone, "listen", read.PeerAddress, "store", read.StoreAddress)
	return &process{
		read:    read,
		logger:  logger,
		sink:    sink,
		metrics: operator.NewMetrics(logger),
		pool: peer.NewPool(peer.PoolConfig{
			Logger:      logger,
			Clock:       c.Clock,
			MaxTimeouts: 1,
			TLS:         credentials.client,
		}),
		tls: credentials.server,
	}, nil
}

func (p *process) close() {
	p.pool.Close()
	if err := p.metrics.Close(); err != nil {
		p.logger.Warn("close metrics", "error", err)
	}
	p.logger.Info("stop")
	p.sink.Close()
}

// credentials are the TLS configurations of a process; nil means plain TCP.
type credentials struct {
	client *tls.Config
	server *tls.Config
}

func newCredentials(from settings.TLSSettings) (credentials, error) {
	if !from.Enabled() {
		return credentials{}, nil
	}
	loaded, err := settings.NewCredentials(settings.OSFileSystem{}, from)
	if err != nil {
		return credentials{}, fmt.Errorf("load credentials: %w", err)
	}
	return credentials{
		client: loaded.ClientConfig(),
		server: loaded.ServerConfig(),
	}, nil
}

// servePeers answers the peer protocol until ctx ends.
func (p *process) servePeers(
	ctx context.Context, answer func(ctx context.Context, request *cellpb.Request) *cellpb.Reply,
) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.read.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	server := peer.NewServer(peer.ServerConfig{
		Logger: p.logger,
		TLS:    p.tls,
		Answer: func(ctx context.Context, read func(proto.Message) error) (proto.Message, error) {
			request := &cellpb.Request{}
			if err := read(request); err != nil {
				return nil, err
			}
			return answer(ctx, request), nil
		},
	})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	return ended, nil
}

// serveHTTP serves a handler until the server is shut down.
func (p *process) serveHTTP(
	ctx context.Context, name, address string, handler http.Handler,
) (*http.Server, <-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          p.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	return server, ended, nil
}

const (
	// headerTimeout and idleTimeout bound connections that send nothing.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// watchReload logs each hangup signal. Settings are read at the start: whatever may change while a process runs comes
// through the store.
func (p *process) watchReload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				p.logger.Info("reload", "effect", "none, settings apply from the start on")
			}
		}
	}()
}
