package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/recovery"
)

const (
	// maxBodyBytes bounds the body of a submission.
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout and readTimeout close connections of callers that stop sending.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxWait bounds the wait parameter; load balancers usually close idle requests after a minute.
	maxWait = 55 * time.Second
	// baseCallTimeout bounds a call in addition to its wait: an append to the log may take 2 s and is retried.
	baseCallTimeout = 5 * time.Second
	// defaultDrainDelay is the time that a load balancer needs to notice that /readyz fails.
	defaultDrainDelay = 2 * time.Second
	// defaultMaxWaitingCalls and defaultMaxCalls bound the memory that calls use. A call over the first limit does not
	// wait; a call over the second is rejected.
	defaultMaxWaitingCalls = 4096
	defaultMaxCalls        = 8192
	retryAfter             = time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// Metrics counts panics of handlers; nil discards the counts.
	Metrics tally.Scope
	// Submit accepts a job and waits up to wait for its end. An error that is a Findings or wraps ErrLimitExceeded or
	// ErrNotAccepted means that the job is not run; after any other the outcome is unknown. When ctx ends with the
	// cause ErrShuttingDown, Submit returns the current state.
	Submit func(ctx context.Context, job *Job, wait time.Duration) (Status, error)
	// Lookup waits up to wait for the end of a job. An error that wraps ErrNotFound means that the workspace certainly
	// has no such job; after any other the state is unknown.
	Lookup func(ctx context.Context, workspace, id string, wait time.Duration) (Status, error)
	// Cancel requests the cancellation of a job. Its errors are those of Lookup.
	Cancel func(ctx context.Context, workspace, id string) (Status, error)
	// Authenticate returns the workspace of a token.
	Authenticate func(token string) (workspace string, ok bool)
	// Ready returns nil if the process can serve callers, otherwise the reason why not.
	Ready func() error
	// DrainDelay is the delay between the failure of /readyz and the end of waiting calls; zero means 2 s.
	DrainDelay time.Duration
	// MaxWaitingCalls and MaxCalls limit the concurrent calls that wait and all concurrent calls; zero means 4096 and
	// 8192.
	MaxWaitingCalls int
	MaxCalls        int
}

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
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	if config.DrainDelay == 0 {
		config.DrainDelay = defaultDrainDelay
	}
	if config.MaxWaitingCalls == 0 {
		config.MaxWaitingCalls = defaultMaxWaitingCalls
	}
	if config.MaxCalls == 0 {
		config.MaxCalls = defaultMaxCalls
	}
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
	server := &http.Server{
		Handler:           CloseAfterResponse(s.readyCtx, handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + maxWait + 2*baseCallTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.config.Logger.StandardLogger(nil),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
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

// callContext returns the context of a call and a function that releases it. If the call waits, the context also ends
// when the server ends waits, with the cause ErrShuttingDown; a call without a wait is short and runs to completion.
func (s *Server) callContext(r *http.Request, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := s.config.Clock.AfterFunc(wait+baseCallTimeout, func() { cancel(context.DeadlineExceeded) })
	stop := func() bool { return true }
	if wait > 0 {
		stop = context.AfterFunc(s.waitsCtx, func() { cancel(ErrShuttingDown) })
	}
	return ctx, func() {
		timer.Stop()
		stop()
		cancel(context.Canceled)
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, workspace string) {
	id := mux.Vars(r)["id"]
	ctx, cancel := s.callContext(r, 0)
	defer cancel()
	status, err := s.config.Cancel(ctx, workspace, id)
	if isNotRun(err) {
		err = errors.Join(errUnexpectedLookup, errors.New(err.Error()))
	}
	s.replyStatus(w, workspace, id, status, err)
}

// currentStatus returns the status of a job after its wait was interrupted by a shutdown.
func (s *Server) currentStatus(r *http.Request, workspace, id string) (Status, error) {
	ctx, cancel := context.WithTimeout(r.Context(), baseCallTimeout)
	defer cancel()
	return s.config.Lookup(ctx, workspace, id, 0)
}

// authenticated returns a handler that checks the token and the number of concurrent calls before it calls handle.
func (s *Server) authenticated(handle func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		workspace := ""
		if ok {
			workspace, ok = s.config.Authenticate(token)
		}
		if err := s.config.Ready(); !ok && err != nil {
			// Without a document no token is known, so a 401 could be wrong.
			s.replyProblem(w, http.StatusServiceUnavailable, "", "not ready, nothing was accepted: "+err.Error())
			return
		}
		if !ok {
			s.config.Logger.Warn("rejected call without a valid token", "remote", r.RemoteAddr, "method", r.Method,
				"path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.replyProblem(w, http.StatusUnauthorized, "Authorization", "no valid bearer token")
			return
		}
		select {
		case s.callSlots <- struct{}{}:
			defer func() { <-s.callSlots }()
			handle(w, r, workspace)
		default:
			s.replyProblem(w, http.StatusServiceUnavailable, "", "too many calls; the job was not accepted")
		}
	}
}

func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request, workspace string) {
	id := mux.Vars(r)["id"]
	wait, err := parseWait(r)
	if err != nil {
		s.replyStatus(w, workspace, id, Status{}, err)
		return
	}
	wait, release := s.reserveWait(wait)
	defer release()
	ctx, cancel := s.callContext(r, wait)
	defer cancel()
	status, err := s.config.Lookup(ctx, workspace, id, wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrShuttingDown) {
		status, err = s.currentStatus(r, workspace, id)
	}
	if isNotRun(err) {
		err = errors.Join(errUnexpectedLookup, errors.New(err.Error()))
	}
	s.replyStatus(w, workspace, id, status, err)
}

// readSubmission returns the job and the wait of a submission. If the request is invalid, it replies with every finding
// and returns false.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request, workspace string) (
	*Job, time.Duration, bool,
) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		s.replyProblem(w, http.StatusRequestEntityTooLarge, "", fmt.Sprintf("body is larger than %d bytes", maxBodyBytes))
		return nil, 0, false
	}
	if err != nil {
		s.replyProblem(w, http.StatusBadRequest, "", "body could not be read")
		return nil, 0, false
	}
	wait, waitErr := parseWait(r)
	job, jobErr := parseSubmission(body, workspace)
	var findings Findings
	for _, err = range []error{waitErr, jobErr} {
		var found Findings
		if errors.As(err, &found) {
			findings = append(findings, found...)
		}
	}
	if len(findings) > 0 {
		s.replyFindings(w, http.StatusBadRequest, findings)
		return nil, 0, false
	}
	if job.ID == "" {
		job.ID = NewID()
	}
	return job, wait, true
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	err := s.config.Ready()
	if s.readyCtx.Err() != nil {
		err = ErrShuttingDown
	}
	if err != nil {
		s.replyProblem(w, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	s.reply(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{
		Ready: true,
	})
}

func (s *Server) replyProblem(w http.ResponseWriter, code int, field, problem string) {
	s.replyFindings(w, code, Findings{
		{
			Field:   field,
			Problem: problem,
		},
	})
}

func (s *Server) reply(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.config.Logger.Error("failed to encode reply", "error", err)
		code = http.StatusInternalServerError
		data = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	if _, err = w.Write(data); err != nil {
		s.config.Logger.Debug("failed to write reply", "error", err)
	}
}

func (s *Server) replyFindings(w http.ResponseWriter, code int, findings Findings) {
	if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	s.reply(w, code, struct {
		Findings Findings `json:"findings"`
	}{
		Findings: findings,
	})
}

// replyStatus replies with the status of a job, or with the HTTP status that err maps to.
func (s *Server) replyStatus(w http.ResponseWriter, workspace, id string, status Status, err error) {
	if err == nil && status.Workspace != workspace {
		// The id belongs to another workspace. The reply must not differ from that for an id without a job.
		err = ErrNotFound
	}
	var findings Findings
	switch {
	case err == nil:
	case errors.As(err, &findings):
		s.replyFindings(w, http.StatusBadRequest, findings)
		return
	case errors.Is(err, ErrLimitExceeded):
		s.replyProblem(w, http.StatusTooManyRequests, "", err.Error())
		return
	case errors.Is(err, ErrNotAccepted):
		s.replyProblem(w, http.StatusServiceUnavailable, "", err.Error())
		return
	case errors.Is(err, ErrNotFound):
		s.replyProblem(w, http.StatusNotFound, "id", ErrNotFound.Error())
		return
	default:
		s.config.Logger.Warn("job state is unknown", "job", id, "workspace", workspace, "error", err)
		status = Status{
			ID:        id,
			State:     StateUnknown,
			Workspace: workspace,
			Reasons:   []string{"the state could not be determined; ask again by the id"},
		}
	}
	if status.Reasons == nil {
		status.Reasons = []string{}
	}
	code := http.StatusAccepted
	if status.State.Ended() {
		code = http.StatusOK
	}
	s.reply(w, code, status)
}

// reserveWait takes one of the slots for waiting calls and returns the wait and a function that frees the slot. The
// returned wait is 0 if no slot is free or the server is shutting down.
func (s *Server) reserveWait(wait time.Duration) (time.Duration, func()) {
	if wait == 0 || s.waitsCtx.Err() != nil {
		return 0, func() {}
	}
	select {
	case s.waitSlots <- struct{}{}:
		return wait, func() { <-s.waitSlots }
	default:
		return 0, func() {}
	}
}

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request, workspace string) {
	job, wait, ok := s.readSubmission(w, r, workspace)
	if !ok {
		return
	}
	wait, release := s.reserveWait(wait)
	defer release()
	ctx, cancel := s.callContext(r, wait)
	defer cancel()
	status, err := s.config.Submit(ctx, job, wait)
	if err == nil && status.Workspace != workspace {
		err = Findings{
			{
				Field:   "id",
				Problem: "cannot be used; choose another",
			},
		}
	}
	if err != nil && !isNotRun(err) {
		if errors.Is(context.Cause(ctx), ErrShuttingDown) {
			status, err = s.currentStatus(r, workspace, job.ID)
		}
		if err != nil {
			// The submission may still be accepted, so the outcome is unknown even if the id is not found.
			err = errors.Join(errOutcomeUnknown, errors.New(err.Error()))
		}
	}
	s.replyStatus(w, workspace, job.ID, status, err)
}

// isNotRun reports whether err means that the job is certainly not run.
func isNotRun(err error) bool {
	var findings Findings
	return errors.As(err, &findings) || errors.Is(err, ErrLimitExceeded) || errors.Is(err, ErrNotAccepted)
}

// parseWait returns the wait parameter, capped at maxWait. Its error is a Findings.
func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, Findings{
			{
				Field:   "wait",
				Problem: fmt.Sprintf("is %q, must be a time like 30s", text),
			},
		}
	}
	return min(wait, maxWait), nil
}
