package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"radishpath.example/radishpath/standin/executorserver"
)

// worker is an executor with the link to its agent. Its heartbeats pass through it, so that it can change them.
type worker struct {
	executor *executorserver.Executor
	id       string
	agentURL string
	link     *link
	client   *http.Client
	mu       sync.Mutex
	// change changes a heartbeat before it is sent; nil means none.
	change func(heartbeat map[string]any)
}

// ServeHTTP passes a heartbeat of the executor on to the agent.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	heartbeat := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err != nil || decoder.Decode(&heartbeat) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.change != nil {
		w.change(heartbeat)
	}
	w.mu.Unlock()
	response.WriteHeader(w.send(request.Context(), request.URL.Path, heartbeat))
}

// setChange sets how heartbeats are changed from now on.
func (w *worker) setChange(change func(heartbeat map[string]any)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.change = change
}

// send sends a heartbeat to the agent and returns the status of its response, 502 if there is none.
func (w *worker) send(ctx context.Context, path string, heartbeat map[string]any) int {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return http.StatusBadGateway
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, w.agentURL+path, strings.NewReader(string(body)))
	if err != nil {
		return http.StatusBadGateway
	}
	response, err := w.client.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	_ = response.Body.Close()
	return response.StatusCode
}
