package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout bounds one call; a publish waits for an append and its reading back.
const callTimeout = 15 * time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the administration address of an entry, with or without http://.
	Address string
	Token   string
	// Client replaces the HTTP client.
	Client *http.Client
}

// Client calls the administration API of one process. Errors are a ConflictError, a StatusError, or what kept the call
// from being answered.
type Client struct {
	config ClientConfig
}

// NewClient returns a Client.
func NewClient(config ClientConfig) *Client {
	if config.Client == nil {
		config.Client = &http.Client{
			Timeout: callTimeout,
		}
	}
	if !strings.Contains(config.Address, "://") {
		config.Address = "http://" + config.Address
	}
	config.Address = strings.TrimSuffix(config.Address, "/")
	return &Client{
		config: config,
	}
}

// Check returns the findings of a text; an empty text stands for the current document.
func (c *Client) Check(ctx context.Context, text string) (result CheckResult, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/check", CheckRequest{
		Text: text,
	}, &result)
	return result, err
}

// Document returns the current revision.
func (c *Client) Document(ctx context.Context) (result Document, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/document", nil, &result)
	return result, err
}

// History returns the latest publishes, the newest first and without texts.
func (c *Client) History(ctx context.Context) (result []Revision, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/document/history", nil, &result)
	return result, err
}

// Jobs returns the jobs that have not ended.
func (c *Client) Jobs(ctx context.Context) (result []Job, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/jobs", nil, &result)
	return result, err
}

// Publish publishes a text.
func (c *Client) Publish(ctx context.Context, request PublishRequest) (result PublishResult, err error) {
	err = c.call(ctx, http.MethodPut, "/v1/document", request, &result)
	return result, err
}

// Queue returns the waiting jobs in order.
func (c *Client) Queue(ctx context.Context) (result []Job, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/queue", nil, &result)
	return result, err
}

// Revision returns a publish of the history.
func (c *Client) Revision(ctx context.Context, revision int64) (result Revision, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/document/%d", revision), nil, &result)
	return result, err
}

// Status returns whether a revision is in effect everywhere.
func (c *Client) Status(ctx context.Context, revision int64) (result Status, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/document/%d/status", revision), nil, &result)
	return result, err
}

// Workers returns the announced workers.
func (c *Client) Workers(ctx context.Context) (result []Worker, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/workers", nil, &result)
	return result, err
}

// Workspaces returns the workspaces with what they use.
func (c *Client) Workspaces(ctx context.Context) (result []Workspace, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/workspaces", nil, &result)
	return result, err
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%s %s: encode: %w", method, path, err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.Address+path, reader)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	response, err := c.config.Client.Do(request)
	if err != nil {
		return fmt.Errorf("administration API: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%s %s: read reply: %w", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return failure(response.StatusCode, data)
	}
	if err = json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s %s: decode reply: %w", method, path, err)
	}
	return nil
}

func failure(code int, data []byte) error {
	var body problem
	if err := json.Unmarshal(data, &body); err != nil || body.Error == "" {
		body.Error = http.StatusText(code)
	}
	if code == http.StatusConflict && body.Current != nil {
		return &ConflictError{
			Reason:  body.Error,
			Current: *body.Current,
			Diff:    body.Diff,
		}
	}
	return &StatusError{
		Code:     code,
		Reason:   body.Error,
		Findings: body.Findings,
	}
}
