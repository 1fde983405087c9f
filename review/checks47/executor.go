package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"radishpath.example/radishpath/standin/executorserver"
)

// executorHost serves a stand-in of an executor at one address. While the executor is down, nothing listens there.
type executorHost struct {
	*executorserver.Executor
	id      string
	address string
	mu      sync.Mutex
	server  *http.Server
}

// listen serves the executor until the host is closed or the executor crashes.
func (h *executorHost) listen(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", h.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", h.id, err)
	}
	server := &http.Server{
		Handler:           h.Executor,
		ReadHeaderTimeout: 5 * time.Second,
	}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	// Serve ends when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (h *executorHost) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		// The connections are reset or closed; neither can fail in a way that matters here.
		_ = h.server.Close()
	}
}
