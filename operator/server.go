package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/settings"
)

const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	// writeTimeout leaves room for a CPU profile of 30 s.
	writeTimeout    = 2 * time.Minute
	idleTimeout     = time.Minute
	shutdownTimeout = 5 * time.Second
	// operatorRate and operatorBurst are requests per second of one operator. The refreshing table of 50 terminals
	// stays below it.
	operatorRate  = 50
	operatorBurst = 100
	// rejectRate bounds the log lines about missing or wrong tokens per second.
	rejectRate = 10
)

// ServerConfig configures a Server. A nil function means that the process has no such route.
type ServerConfig struct {
	Logger    hclog.Logger
	Clock     clockwork.Clock
	Operators []settings.Operator
	// Document returns the current revision.
	Document func() Document
	// History returns the latest publishes, the newest first; Revision one of them.
	History  func() []Revision
	Revision func(revision int64) (Revision, bool)
	// Publish appends a checked text and reads its outcome back. An error that wraps ErrNotPublished means that nothing
	// was published; after any other the outcome is unknown.
	Publish    func(ctx context.Context, request PublishRequest) (PublishResult, error)
	Workers    func() []Worker
	Workspaces func() []Workspace
	// Queue returns the waiting jobs in order, with reasons.
	Queue func() []Job
	Jobs  func() []Job
	// InEffect returns the ids of the processes that have not confirmed a revision.
	InEffect func(revision int64) []string
	// Ready returns why the process cannot serve; nil means that it always can.
	Ready   func() error
	Metrics http.Handler
}

// Server answers operators.
type Server struct {
	config   ServerConfig
	router   *mux.Router
	mu       sync.Mutex
	limits   map[string]*rate.Limiter
	rejected *rate.Limiter
}

// NewServer returns a Server.
func NewServer(config ServerConfig) *Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	s := &Server{
		config:   config,
		router:   mux.NewRouter(),
		limits:   map[string]*rate.Limiter{},
		rejected: rate.NewLimiter(rejectRate, rejectRate),
	}
	s.addRoutes()
	return s
}

// Serve answers connections until ctx ends, then finishes the requests that it is answering.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdown)
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	if err != nil {
		return fmt.Errorf("stop serving operators: %w", err)
	}
	return nil
}

// ServeHTTP implements http.Handler. The token is checked before the path is looked at.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		reply(w, http.StatusOK, map[string]string{
			"status": "ok",
		})
		return
	case "/readyz":
		s.ready(w)
		return
	}
	name, ok := s.authenticate(r)
	if !ok {
		s.reject(w, r)
		return
	}
	if !s.limit(name).AllowN(s.config.Clock.Now(), 1) {
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusTooManyRequests, problem{
			Error: fmt.Sprintf("more than %d requests per second", operatorRate),
		})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.router.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

func (s *Server) addRoutes() {
	c := s.config
	get := func(exists bool, path string, handle http.HandlerFunc) {
		if exists {
			s.router.HandleFunc(path, handle).Methods(http.MethodGet)
		}
	}
	get(c.Document != nil, "/v1/document", s.getDocument)
	get(c.History != nil, "/v1/document/history", s.getHistory)
	get(c.Revision != nil, "/v1/document/{revision:[0-9]+}", s.getRevision)
	get(c.InEffect != nil, "/v1/document/{revision:[0-9]+}/status", s.getStatus)
	get(c.Workers != nil, "/v1/workers", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, list(c.Workers()))
	})
	get(c.Workspaces != nil, "/v1/workspaces", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, list(c.Workspaces()))
	})
	get(c.Queue != nil, "/v1/queue", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, list(c.Queue()))
	})
	get(c.Jobs != nil, "/v1/jobs", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, list(c.Jobs()))
	})
	if c.Publish != nil && c.Document != nil {
		s.router.HandleFunc("/v1/document", s.putDocument).Methods(http.MethodPut)
		s.router.HandleFunc("/v1/check", s.postCheck).Methods(http.MethodPost)
	}
	if c.Metrics != nil {
		s.router.Handle("/metrics", c.Metrics).Methods(http.MethodGet)
	}
	s.router.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	s.router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s.router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	s.router.HandleFunc("/debug/pprof/trace", pprof.Trace)
	s.router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	s.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusNotFound, problem{
			Error: r.URL.Path + " does not exist in this process",
		})
	})
	s.router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusMethodNotAllowed, problem{
			Error: r.URL.Path + " does not take " + r.Method,
		})
	})
}

// authenticate returns the operator that the token belongs to. It compares with every hash, so that the time does not
// depend on which one matches.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	hash := []byte(document.HashToken(token))
	name, found := "", false
	for _, operator := range s.config.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(operator.Hash)) == 1 {
			name, found = operator.Name, true
		}
	}
	return name, found
}

// limit returns the limiter of an operator. The limiters are as many as the operators of the settings.
func (s *Server) limit(name string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, ok := s.limits[name]
	if !ok {
		limiter = rate.NewLimiter(operatorRate, operatorBurst)
		s.limits[name] = limiter
	}
	return limiter
}

func (s *Server) ready(w http.ResponseWriter) {
	if s.config.Ready != nil {
		if err := s.config.Ready(); err != nil {
			reply(w, http.StatusServiceUnavailable, map[string]string{
				"status": "not ready",
				"reason": err.Error(),
			})
			return
		}
	}
	reply(w, http.StatusOK, map[string]string{
		"status": "ready",
	})
}

// reject answers 401. Log lines beyond the rate are dropped, so that a flood of requests does not fill the disk of the
// log's reader.
func (s *Server) reject(w http.ResponseWriter, r *http.Request) {
	if s.rejected.AllowN(s.config.Clock.Now(), 1) {
		s.config.Logger.Warn("operator request without a valid token",
			"remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	reply(w, http.StatusUnauthorized, problem{
		Error: "needs the bearer token of an operator",
	})
}
