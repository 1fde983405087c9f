package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/gorilla/mux"

	"radishpath.example/radishpath/connlimit"
	"radishpath.example/radishpath/recovery"
)

const maxHeaderBytes = 16 << 10

// Server serves the HTTP API for callers.
type Server struct {
	config    ServerConfig
	waitSlots chan struct{}
	callSlots chan struct{}
	// readyCtx ends when the server stops being ready, waitsCtx when waiting calls must be answered.
	readyCtx    context.Context
	stopReady   context.CancelFunc
	waitsCtx    context.Context
	cancelWaits context.CancelCauseFunc
}

// NewServer returns a Server.
func NewServer(config ServerConfig) *Server {
	config = config.withDefaults()
	s := &Server{
		config:    config,
		waitSlots: make(chan struct{}, config.MaxWaitingCalls),
		callSlots: make(chan struct{}, config.MaxCalls),
	}
	s.readyCtx, s.stopReady = context.WithCancel(context.Background())
	s.waitsCtx, s.cancelWaits = context.WithCancelCause(context.Background())
	return s
}

// Handler returns the HTTP handler of all routes, for tests and for programs that run their own http.Server.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs", s.authenticated(s.handleSubmit)).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{id}", s.authenticated(s.handleLookup)).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", s.authenticated(s.handleCancel)).Methods(http.MethodDelete)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.replyProblem(w, http.StatusNotFound, "", "no such path")
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.replyProblem(w, http.StatusMethodNotAllowed, "", "method not allowed for this path")
	})
	return router
}

// Serve serves the API until ctx ends, then shuts down without interrupting a request.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler := recovery.Handler(s.config.Logger, s.config.Metrics, "jobs", s.Handler())
	server := s.config.Limiter.NewServer(connlimit.ServerConfig{
		Handler:  CloseAfterResponse(s.readyCtx, handler),
		ErrorLog: s.config.Logger.StandardLogger(nil),
		MaxHead:  maxHeaderBytes,
		MaxBody:  func() int64 { return maxBodyBytes },
		BodyCost: SubmissionCost,
	})
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(s.config.Limiter.Listen(listener)) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve callers on %s: %w", listener.Addr(), err)
	case <-ctx.Done():
	}
	s.stopReady()
	s.config.Logger.Info("shutting down caller server", "drain", s.config.DrainDelay)
	<-s.config.Clock.After(s.config.DrainDelay)
	s.cancelWaits(ErrShuttingDown)
	// Every call now ends without an interruption: waits are over, and reads, writes and submissions have timeouts.
	if err := server.Shutdown(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers on %s: %w", listener.Addr(), err)
	}
	return nil
}
