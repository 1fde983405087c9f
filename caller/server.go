// Package caller serves callers over HTTP.
//
// # Usage
//
//	handler := caller.NewServer(caller.Config{...}).Handler()
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/peer/peerpb"
)

// Errors of submissions.
var (
	ErrNotAccepted = errors.New("not accepted; nothing was run")
	ErrLimit       = errors.New("over the workspace's limit; nothing was run")
	ErrNotFound    = errors.New("no such job")
)

// Status is a job's state as callers see it.
type Status struct {
	ID        string   `json:"id"`
	State     string   `json:"state"`
	Workspace string   `json:"workspace"`
	Answer    string   `json:"answer,omitempty"`
	Reasons   []string `json:"reasons,omitempty"`
}

// Config configures a Server.
type Config struct {
	Now          func() time.Time
	Submit       func(ctx context.Context, job *peerpb.Job, wait time.Duration) (Status, error)
	Lookup       func(ctx context.Context, workspace, id string, wait time.Duration) (Status, error)
	Cancel       func(ctx context.Context, workspace, id string) (Status, error)
	Authenticate func(token string) (workspace string, ok bool)
	Ready        func() error
}

// Server serves callers.
type Server struct {
	config Config
}

// NewServer returns a Server.
func NewServer(config Config) *Server {
	return &Server{
		config: config,
	}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/jobs", s.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{id}", s.lookup).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", s.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	return router
}

func (s *Server) workspace(r *http.Request) (string, bool) {
	return s.config.Authenticate(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	workspace, ok := s.workspace(r)
	if !ok {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	var body struct {
		ID             string          `json:"id"`
		Idempotent     bool            `json:"idempotent"`
		Checkpointable bool            `json:"checkpointable"`
		Urgent         bool            `json:"urgent"`
		Members        int32           `json:"members"`
		Accelerators   int32           `json:"accelerators"`
		Cores          int32           `json:"cores"`
		Memory         int64           `json:"memory"`
		Scope          string          `json:"scope"`
		Declared       string          `json:"declared"`
		Deadline       string          `json:"deadline"`
		Kind           string          `json:"kind"`
		Payload        json.RawMessage `json:"payload"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if body.ID == "" {
		body.ID = uuid.NewString()
	}
	job := &peerpb.Job{
		Id:             body.ID,
		Workspace:      workspace,
		Idempotent:     body.Idempotent,
		Checkpointable: body.Checkpointable,
		Urgent:         body.Urgent,
		Members:        body.Members,
		Accelerators:   body.Accelerators,
		Cores:          body.Cores,
		MemoryBytes:    body.Memory,
		Kind:           body.Kind,
		Payload:        body.Payload,
		Scope: map[string]peerpb.Scope{
			"worker": peerpb.Scope_SCOPE_WORKER,
			"rack":   peerpb.Scope_SCOPE_RACK,
			"zone":   peerpb.Scope_SCOPE_ZONE,
		}[body.Scope],
	}
	if d, err := time.ParseDuration(body.Declared); err == nil {
		job.Declared = durationpb.New(d)
	}
	if d, err := time.ParseDuration(body.Deadline); err == nil {
		job.Deadline = timestamppb.New(s.config.Now().Add(d))
	}
	status, err := s.config.Submit(r.Context(), job, wait(r))
	s.reply(w, status, err)
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	workspace, ok := s.workspace(r)
	if !ok {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	status, err := s.config.Lookup(r.Context(), workspace, mux.Vars(r)["id"], wait(r))
	s.reply(w, status, err)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	workspace, ok := s.workspace(r)
	if !ok {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	status, err := s.config.Cancel(r.Context(), workspace, mux.Vars(r)["id"])
	s.reply(w, status, err)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Server) reply(w http.ResponseWriter, status Status, err error) {
	code := http.StatusOK
	switch {
	case errors.Is(err, ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(err, ErrLimit):
		code = http.StatusTooManyRequests
	case err != nil:
		code = http.StatusServiceUnavailable
	case status.State == "queued" || status.State == "running" || status.State == "unknown":
		code = http.StatusAccepted
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err != nil {
		_ = json.NewEncoder(w).Encode(struct {
			Findings []struct {
				Problem string `json:"problem"`
			} `json:"findings"`
		}{
			Findings: []struct {
				Problem string `json:"problem"`
			}{
				{
					Problem: err.Error(),
				},
			},
		})
		return
	}
	_ = json.NewEncoder(w).Encode(status)
}

func wait(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return d
}
