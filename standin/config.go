package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

const headerTimeout = 10 * time.Second

// config is what the commands share.
type config struct {
	clock  clockwork.Clock
	stdout io.Writer
	stderr io.Writer
	listen string
	level  string
}

// execute runs the command line and returns the process's exit code.
func (c *config) execute(args []string) int {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Run the test servers of the platform",
		SilenceUsage: true,
	}
	root.SetOut(c.stdout)
	root.SetErr(c.stderr)
	root.SetArgs(args)
	root.PersistentFlags().StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	root.PersistentFlags().StringVar(&c.level, "level", "info", "log level")
	root.AddCommand(
		c.newLogCmd(),
		c.newWorkerCmd(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func (c *config) logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.LevelFromString(c.level),
		Output: c.stderr,
	})
}

// serve answers requests until ctx ends, then closes every connection. A limit of 0 means any number of connections.
func (c *config) serve(ctx context.Context, handler http.Handler, limit int) error {
	listening := net.ListenConfig{}
	listener, err := listening.Listen(ctx, "tcp", c.listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.listen, err)
	}
	if _, err = fmt.Fprintln(c.stdout, "listening on", listener.Addr()); err != nil {
		return fmt.Errorf("print address: %w", err)
	}
	if limit > 0 {
		listener = newLimitListener(listener, limit)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
