package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/entry"
	"radishpath.example/radishpath/settings"
)

const (
	// shutdownLimit bounds how long callers' connections may take to end after the long waits were answered.
	shutdownLimit     = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// servers are the HTTP servers of an entry.
type servers struct {
	caller *http.Server
	admin  *http.Server
	// endWaits answers the long waits of callers with the current state.
	endWaits context.CancelFunc
	clock    clockwork.Clock
	logger   hclog.Logger
	ends     chan error
}

// startServers listens for callers and operators.
func (c *Config) startServers(
	ctx context.Context, read settings.EntrySettings, e *entry.Entry, m metrics, logger hclog.Logger,
) (*servers, error) {
	waits, endWaits := context.WithCancel(ctx)
	s := &servers{
		endWaits: endWaits,
		clock:    c.Clock,
		logger:   logger,
		ends:     make(chan error, 2),
	}
	s.caller = newHTTPServer(waits, caller.NewServer(caller.Config{
		Now:          c.Clock.Now,
		Submit:       e.Submit,
		Lookup:       e.Lookup,
		Cancel:       e.Cancel,
		Authenticate: e.Authenticate,
		Ready:        e.Ready,
	}).Handler())
	s.admin = newHTTPServer(ctx, adminHandler(e, m))
	for address, server := range map[string]*http.Server{
		read.Caller: s.caller,
		read.Admin:  s.admin,
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		go func() { s.ends <- server.Serve(listener) }()
	}
	return s, nil
}

// close ends both servers at once.
func (s *servers) close() {
	s.endWaits()
	_ = s.caller.Close()
	_ = s.admin.Close()
}

// drain turns readiness off, goes on for the linger time, answers the long waits and lets the connections end.
func (s *servers) drain(ctx context.Context, e *entry.Entry, linger time.Duration) {
	e.Leave()
	s.clock.Sleep(linger)
	s.endWaits()
	ctx, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	if err := s.caller.Shutdown(ctx); err != nil {
		s.logger.Warn("close callers' connections", "error", err)
	}
}

func newHTTPServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

func adminHandler(e *entry.Entry, m metrics) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", m.handler)
	router.HandleFunc("/v1/document", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Base   int64  `json:"base"`
			Text   string `json:"text"`
			Author string `json:"author"`
		}
		raw, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(raw, &body)
		revision, err := e.Publish(r.Context(), body.Base, body.Text, body.Author)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		_, _ = fmt.Fprintln(w, revision)
	}).Methods(http.MethodPut)
	return router
}
