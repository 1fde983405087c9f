package connlimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	// headTimeout is the time within which a client sends the head of a request, idleTimeout how long a connection stays
	// open between two.
	headTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
	// bodyTimeout is the time within which a client sends a body, and minBodyRate the number of bytes for each further
	// second.
	bodyTimeout = 10 * time.Second
	minBodyRate = 16 << 10
	// writeTimeout is the time within which a client takes a response, handleTimeout that within which one is given.
	writeTimeout  = 10 * time.Second
	handleTimeout = 10 * time.Minute
	// retryAfter is the number of seconds after which a refused client may come back.
	retryAfter = "1"
)

// ServerConfig configures an http.Server whose connections are accepted through Limiter.Listen.
type ServerConfig struct {
	Handler  http.Handler
	ErrorLog *log.Logger
	// MaxHead is the largest size of the head of a request in bytes, MaxBody returns that of a body; nil means none.
	MaxHead int
	MaxBody func() int64
	// BodyCost is the memory that a byte of a body takes while the request is handled, in bytes.
	BodyCost int64
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// NewServer returns a server that reads a request whole, within its limits, before it is handled.
func (l *Limiter) NewServer(config ServerConfig) *http.Server {
	return &http.Server{
		Handler:           l.handler(config),
		ErrorLog:          config.ErrorLog,
		MaxHeaderBytes:    config.MaxHead,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         noteState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// noteState notes for the limiter what a connection does.
func noteState(inner net.Conn, state http.ConnState) {
	conn, ok := inner.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.Begin()
	case http.StateIdle:
		conn.Rest()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// handler reads the body of a request before the inner handler is called.
func (l *Limiter) handler(config ServerConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			config.Handler.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		// The connection still has the deadline of the last response.
		_ = controller.SetWriteDeadline(l.config.Clock.Now().Add(handleTimeout))
		body, err := l.readBody(controller, conn, r, config)
		if err != nil {
			refuse(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		conn.Serve()
		config.Handler.ServeHTTP(w, r)
		_ = controller.SetWriteDeadline(l.config.Clock.Now().Add(writeTimeout))
	})
}

// readBody reads the body of a request within its limits.
func (l *Limiter) readBody(
	controller *http.ResponseController, conn *Conn, r *http.Request, config ServerConfig,
) ([]byte, error) {
	limit := int64(0)
	if config.MaxBody != nil {
		limit = config.MaxBody()
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	if size == 0 {
		return nil, nil
	}
	timeout := bodyTimeout + time.Duration(size/minBodyRate)*time.Second
	_ = controller.SetReadDeadline(l.config.Clock.Now().Add(timeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	return conn.ReadAll(r.Body, limit, config.BodyCost)
}

// refuse answers a request that wasn't read and closes its connection.
func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBusy):
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, errUnfinished.Error(), http.StatusBadRequest)
	}
}
