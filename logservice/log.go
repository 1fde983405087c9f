package logservice

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/rest"
)

// LogConfig configures a Log.
type LogConfig struct {
	// Address is host:port or the URL of the log service.
	Address string
	// Client replaces the HTTP client.
	Client *http.Client
	// Clock measures the calls that are logged; nil logs no durations.
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Log is a client of the log service.
type Log struct {
	config LogConfig
	client *rest.Client
}

// NewLog returns a Log.
func NewLog(config LogConfig) *Log {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Log{
		config: config,
		client: rest.New(rest.Config{
			Address: config.Address,
			Client:  config.Client,
		}),
	}
}

// Append adds one record to a stream and returns its offset. An error that wraps ErrRejected means that the record
// was not appended and never will be; after any other error it may have been appended.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	defer l.trace("append", stream)()
	var reply struct {
		Offset *int64 `json:"offset"`
	}
	if err := l.client.Do(ctx, http.MethodPost, recordsPath(stream), data, &reply); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	if reply.Offset == nil {
		return 0, fmt.Errorf("append to %s: answer without offset", stream)
	}
	return *reply.Offset, nil
}

// Read returns at most limit records from the offset on. It waits up to wait for a record if there is none.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	defer l.trace("read", stream)()
	query := url.Values{
		"from":  {strconv.FormatInt(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	page := Page{}
	if err := l.client.Do(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, &page); err != nil {
		return Page{}, fmt.Errorf("read %s: %w", stream, err)
	}
	return page, nil
}

// trace returns a function that logs how long the call took.
func (l *Log) trace(call, stream string) func() {
	if l.config.Clock == nil || !l.config.Logger.IsTrace() {
		return func() {}
	}
	begin := l.config.Clock.Now()
	return func() {
		l.config.Logger.Trace(call, "stream", stream, "took", l.config.Clock.Since(begin))
	}
}

func recordsPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}
