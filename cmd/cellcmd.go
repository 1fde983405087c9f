package cmd

import (
	"context"
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

// cellTopic is the log of the cell in the store.
const cellTopic = "keyed.cell"

func (c *Config) newCellCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cell",
		Short: "Run the processes of a cell on a shared metadata store",
		Long: "Run the processes of a cell on a shared metadata store. docs/platform.md describes the cell,\n" +
			"docs/configuration.md the settings.",
	}
	cmd.AddCommand(c.newCellEntryCmd(), c.newCellAgentCmd())
	return cmd
}

// cellProcess is what both processes of a cell have.
type cellProcess struct {
	read    settings.CellSettings
	logger  hclog.Logger
	sink    *logsink.Sink
	metrics *operator.Metrics
	pool    *peer.Pool
}

func (c *Config) newCellProcess(role, path string, read settings.CellSettings) *cellProcess {
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
	if read.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(read.Memory) * (1 << 20)))
	}
	logger.Info("start", "settings", path, "zone", read.Zone, "listen", read.Listen, "store", read.Store)
	return &cellProcess{
		read:    read,
		logger:  logger,
		sink:    sink,
		metrics: operator.NewMetrics(logger),
		pool: peer.NewPool(peer.PoolConfig{
			Logger:      logger,
			Clock:       c.Clock,
			MaxTimeouts: 1,
		}),
	}
}

func (p *cellProcess) close() {
	p.pool.Close()
	if err := p.metrics.Close(); err != nil {
		p.logger.Warn("close metrics", "error", err)
	}
	p.logger.Info("stop")
	p.sink.Close()
}

// servePeers answers the peer protocol until ctx ends.
func (p *cellProcess) servePeers(
	ctx context.Context, answer func(ctx context.Context, request *cellpb.Request) *cellpb.Reply,
) (<-chan error, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.read.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	server := peer.NewServer(peer.ServerConfig{
		Logger: p.logger,
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
func (p *cellProcess) serveHTTP(
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
func (p *cellProcess) watchReload(ctx context.Context) {
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
