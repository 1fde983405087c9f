package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/connlimit"
)

// HandlerFunc handles a call: it decodes the request with read and returns the reply.
type HandlerFunc func(ctx context.Context, read func(request proto.Message) error) (proto.Message, error)

const (
	// firstRequestTimeout is the time within which a new session brings its first request.
	firstRequestTimeout = 5 * time.Second
	// requestTimeout is the time within which a request arrives.
	requestTimeout = 10 * time.Second
	// requestCost is the memory that a byte of a request takes while it is read and decoded, in bytes.
	requestCost = 3
	// maxSessionStreams is the number of calls that a session may have at the same time. An entry forwards the reports of
	// many agents over one.
	maxSessionStreams = 2048
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Logger  hclog.Logger
	Handler HandlerFunc
	// TLS turns on mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Limiter limits the sessions and the bytes of unfinished requests.
	Limiter *connlimit.Limiter
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
	listener = s.config.Limiter.Listen(listener)
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
	limited, ok := conn.(*connlimit.Conn)
	if !ok {
		_ = conn.Close()
		return
	}
	served := &servedSession{
		conn: limited,
	}
	limited.SetReadTimeout(firstRequestTimeout)
	if s.config.TLS != nil {
		conn = tls.Server(conn, s.config.TLS)
	}
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
		if session.NumStreams() > maxSessionStreams {
			return
		}
		streams.Go(func() {
			if errors.Is(s.serveStream(ctx, served, stream), errLimit) {
				// A stream that is closed alone keeps its buffer for as long as its peer may take to close it.
				_ = session.Close()
			}
		})
	}
}

// serveStream handles one call. The error is that of its request.
func (s *Server) serveStream(ctx context.Context, session *servedSession, stream net.Conn) (requestErr error) {
	defer func() {
		if !errors.Is(requestErr, errLimit) {
			_ = stream.Close()
		}
	}()
	begun := false
	defer func() { session.end(begun) }()
	reply, err := s.config.Handler(ctx, func(request proto.Message) error {
		stop := s.config.Limiter.AfterFunc(requestTimeout, func() { _ = session.conn.Close() })
		defer stop()
		if requestErr = readRequest(stream, session.conn, request); requestErr != nil {
			return requestErr
		}
		begun = true
		session.begin()
		return nil
	})
	if err != nil {
		s.config.Logger.Warn("failed to handle request", "error", err)
		return requestErr
	}
	if err = writeMessage(stream, reply); err != nil {
		s.config.Logger.Warn("failed to write reply", "error", err)
	}
	return nil
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
