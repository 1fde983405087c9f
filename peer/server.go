package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// HandlerFunc handles a call: it decodes the request with read and returns the reply.
type HandlerFunc func(ctx context.Context, read func(request proto.Message) error) (proto.Message, error)

// ServerConfig configures a Server.
type ServerConfig struct {
	Logger  hclog.Logger
	Handler HandlerFunc
	// TLS turns on mutual TLS; nil means plain TCP.
	TLS *tls.Config
}

// Server handles calls from other processes.
type Server struct {
	config ServerConfig
}

// NewServer returns a Server.
func NewServer(config ServerConfig) *Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Server{
		config: config,
	}
}

// Serve accepts connections until ctx ends, then closes them and waits for the handlers to return.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	// The open sessions are closed if the listener fails, too.
	defer cancel()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		sessions.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		s.config.Logger.Warn("failed to open session", "remote", conn.RemoteAddr(), "error", err)
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { s.serveStream(ctx, stream) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	reply, err := s.config.Handler(ctx, func(request proto.Message) error { return readMessage(stream, request) })
	if err != nil {
		s.config.Logger.Warn("failed to handle request", "error", err)
		return
	}
	if err = writeMessage(stream, reply); err != nil {
		s.config.Logger.Warn("failed to write reply", "error", err)
	}
}

// yamuxConfig disables yamux's keepalive: every process sends its own heartbeats, and a keepalive would hide a paused
// peer from the callers' timeouts.
func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = 30 * time.Second
	config.ConnectionWriteTimeout = 2 * time.Second
	return config
}
