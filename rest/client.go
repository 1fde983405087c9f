package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxReplyBytes bounds one reply; a page of the job stream with large answers is the largest.
	maxReplyBytes = 256 << 20
	// maxErrorBytes bounds the text that is kept of an error reply.
	maxErrorBytes = 512
	idleTimeout   = 90 * time.Second
	// idleConnections are kept open when the number of connections has no limit; the default of net/http, 2, makes
	// a burst of calls dial again and again.
	idleConnections = 32
)

// Config configures a Client.
type Config struct {
	// Address is host:port or the URL of the server.
	Address string
	// Connections limits the open connections to the server; 0 means no limit.
	Connections int
	// Client replaces the HTTP client; Connections is then ignored.
	Client *http.Client
}

// Client calls one server. It is safe for concurrent use and keeps its connections open.
type Client struct {
	config Config
}

// New returns a Client.
func New(config Config) *Client {
	if config.Client == nil {
		config.Client = newHTTPClient(config.Connections)
	}
	if !strings.Contains(config.Address, "://") {
		config.Address = "http://" + config.Address
	}
	return &Client{
		config: config,
	}
}

// Do sends one call and decodes the JSON reply into reply unless that is nil. The time limit comes from ctx.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, reply any) error {
	if err := c.do(ctx, method, path, body, reply); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, c.config.Address, path, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: make request: %w", ErrRejected, err)
	}
	response, err := c.config.Client.Do(request)
	if err != nil && (!connected.Load() || isDial(err)) {
		return fmt.Errorf("%w: no connection: %w", ErrRejected, err)
	}
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return readStatus(response)
	}
	return readReply(response, reply)
}

// isDial reports whether err is that of a new connection. After a connection was used, net/http dials again only if it
// has not written any of the request to the old one, or if the request is a read.
func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func newHTTPClient(connections int) *http.Client {
	idle := connections
	if idle == 0 {
		idle = idleConnections
	}
	return &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

func readReply(response *http.Response, reply any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if reply == nil {
		return nil
	}
	if err = json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func readStatus(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	status := &StatusError{
		Code: response.StatusCode,
		Text: strings.TrimSpace(string(text)),
	}
	if status.rejects() {
		return fmt.Errorf("%w: %w", ErrRejected, status)
	}
	return status
}
