package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// replyMargin is added to the requested wait to get the timeout of a call.
	replyMargin = 10 * time.Second
	// maxReplyBytes is enough for a reply of 1 MiB with JSON escaping.
	maxReplyBytes = 8 << 20
)

// Config configures a Client.
type Config struct {
	// Address is the caller address of an entry or of the load balancer, with or without http://.
	Address string
	Token   string
	// Client is the HTTP client to use; nil means one with default settings.
	Client *http.Client
}

// Client calls the HTTP API for callers.
type Client struct {
	config Config
}

// New returns a Client.
func New(config Config) *Client {
	if config.Client == nil {
		config.Client = &http.Client{}
	}
	if !strings.Contains(config.Address, "://") {
		config.Address = "http://" + config.Address
	}
	config.Address = strings.TrimSuffix(config.Address, "/")
	return &Client{
		config: config,
	}
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), 0, nil)
}

// Status waits up to wait for the end of a job and returns the job.
func (c *Client) Status(ctx context.Context, id string, wait time.Duration) (Job, error) {
	return c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), wait, nil)
}

// Submit submits a job, waits up to wait for its end and returns it.
func (c *Client) Submit(ctx context.Context, submission Submission, wait time.Duration) (Job, error) {
	return c.do(ctx, http.MethodPost, "/v1/jobs", wait, submission)
}

func (c *Client) do(ctx context.Context, method, path string, wait time.Duration, body any) (Job, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	target := c.config.Address + path
	if wait > 0 {
		target += "?wait=" + wait.String()
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return Job{}, fmt.Errorf("%s %s: encode: %w", method, path, err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return Job{}, fmt.Errorf("%s %s: %w", method, path, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	response, err := c.config.Client.Do(request)
	if err != nil {
		return Job{}, fmt.Errorf("caller API: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return Job{}, fmt.Errorf("%s %s: read reply: %w", method, path, err)
	}
	return decodeReply(response.StatusCode, data)
}

// decodeReply returns the job in a reply, or an Error. A reply with a job counts as success whatever its HTTP status.
func decodeReply(code int, data []byte) (Job, error) {
	var job Job
	if err := json.Unmarshal(data, &job); err == nil && job.State != "" {
		return job, nil
	}
	replyErr := &Error{
		Code: code,
	}
	if err := json.Unmarshal(data, replyErr); err != nil && code < http.StatusBadRequest {
		return Job{}, fmt.Errorf("status %d: decode reply: %w", code, err)
	}
	return Job{}, replyErr
}
