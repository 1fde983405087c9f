package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"radishpath.example/radishpath/rest"
)

// maxConnections is what a backend server accepts ("about 60 connections each", docs/design.md section 1).
const maxConnections = 60

// ErrRejected marks a request that was not run.
var ErrRejected = rest.ErrRejected

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is host:port or the URL of the backend server.
	Address string
	// Client replaces the HTTP client.
	Client *http.Client
}

// Server is a client of one backend server.
type Server struct {
	client *rest.Client
}

// NewServer returns a Server.
func NewServer(config ServerConfig) *Server {
	return &Server{
		client: rest.New(rest.Config{
			Address:     config.Address,
			Connections: maxConnections,
			Client:      config.Client,
		}),
	}
}

// Forget makes the backend server drop the answer of a request. An unknown request is no error.
func (s *Server) Forget(ctx context.Context, id string) error {
	err := s.client.Do(ctx, http.MethodDelete, "/requests/"+url.PathEscape(id), nil, nil)
	if err != nil && !rest.IsStatus(err, http.StatusNotFound) {
		return fmt.Errorf("forget request %s: %w", id, err)
	}
	return nil
}

// Leaving reports whether the backend server announces that it is leaving.
func (s *Server) Leaving(ctx context.Context) (bool, error) {
	var health struct {
		Leaving bool `json:"leaving"`
	}
	if err := s.client.Do(ctx, http.MethodGet, "/health", nil, &health); err != nil {
		return false, fmt.Errorf("read health: %w", err)
	}
	return health.Leaving, nil
}

// Requests returns the requests that run or whose answers are kept.
func (s *Server) Requests(ctx context.Context) ([]Status, error) {
	var reply struct {
		Requests []Status `json:"requests"`
	}
	if err := s.client.Do(ctx, http.MethodGet, "/requests", nil, &reply); err != nil {
		return nil, fmt.Errorf("list requests: %w", err)
	}
	return reply.Requests, nil
}

// Serve runs a request and returns its answer. The request keeps running when ctx ends.
func (s *Server) Serve(ctx context.Context, request Request) (Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, fmt.Errorf("serve request %s: %w: encode: %w", request.ID, ErrRejected, err)
	}
	answer := Answer{}
	if err = s.client.Do(ctx, http.MethodPost, "/requests", body, &answer); err != nil {
		return Answer{}, fmt.Errorf("serve request %s: %w", request.ID, err)
	}
	return answer, nil
}
