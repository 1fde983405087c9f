package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/settings"
)

const token = "correct"

// newServer returns a server over a fold, its clock and its log.
func newServer(t *testing.T, change func(*ServerConfig)) (string, *clockwork.FakeClock, *bytes.Buffer) {
	t.Helper()
	fold := document.NewFold()
	log := &bytes.Buffer{}
	clock := clockwork.NewFakeClock()
	config := ServerConfig{
		Logger: hclog.New(&hclog.LoggerOptions{
			Output: log,
		}),
		Clock: clock,
		Operators: []settings.Operator{
			{
				Name: "ana",
				Hash: document.HashToken(token),
			},
		},
		Document: func() Document {
			revision, text, _ := fold.Current()
			return Document{
				Revision: revision,
				Text:     text,
			}
		},
		Publish: func(_ context.Context, request PublishRequest) (PublishResult, error) {
			result := fold.Apply(fold.Next(), &peerpb.DocumentRecord{
				Base:   request.Base,
				Text:   request.Text,
				Author: request.Author,
			})
			return PublishResult{
				Revision: result.Revision,
				Applied:  result.Applied,
				Reason:   result.Reason,
			}, nil
		},
		History: func() []Revision {
			var revisions []Revision
			for _, revision := range fold.History() {
				revisions = append(revisions, Revision(revision))
			}
			return revisions
		},
		InEffect: func(int64) []string {
			return []string{"agent-3"}
		},
		Workers: func() []Worker {
			return nil
		},
	}
	if change != nil {
		change(&config)
	}
	server := httptest.NewServer(NewServer(config))
	t.Cleanup(server.Close)
	return server.URL, clock, log
}

func newTestClient(address string) *Client {
	return NewClient(ClientConfig{
		Address: address,
		Token:   token,
	})
}

// TestPublish guards against a publish that overwrites one its operator has not seen, that takes a faulty text, or that
// is recorded without its author.
func TestPublish(t *testing.T) {
	address, _, _ := newServer(t, nil)
	client := newTestClient(address)
	text := "[zone \"z\"]\n[workspace \"a\"]\nguarantee = 1x8@worker\ntoken = " + document.HashToken("c") + "\n"
	result, err := client.Publish(t.Context(), PublishRequest{
		Text: text,
	})
	require.NoError(t, err)
	require.Equal(t, int64(1), result.Revision)
	require.Len(t, result.Warnings, 1)
	require.Contains(t, result.Warnings[0].Problem, "no worker is announced")

	// A publish that changes no guarantee does not compare them again; a zone out of service does.
	result, err = client.Publish(t.Context(), PublishRequest{
		Base: 1,
		Text: text + "queue = 5\n",
	})
	require.NoError(t, err)
	require.Empty(t, result.Warnings)
	text = strings.Replace(text, "\n", "\nstate = out\n", 1)
	result, err = client.Publish(t.Context(), PublishRequest{
		Base: 2,
		Text: text,
	})
	require.NoError(t, err)
	require.Len(t, result.Warnings, 2)

	var conflict *ConflictError
	for _, base := range []int64{0, 7} {
		_, err = client.Publish(t.Context(), PublishRequest{
			Base: base,
			Text: "[zone \"y\"]\n",
		})
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, Document{
			Revision: 3,
			Text:     text,
		}, conflict.Current)
		require.Contains(t, conflict.Diff, "-[zone \"z\"]\n")
		require.Contains(t, conflict.Diff, "+[zone \"y\"]\n")
	}

	var refused *StatusError
	_, err = client.Publish(t.Context(), PublishRequest{
		Base: 3,
		Text: "[zone \"z\"]\nstate = on\n",
	})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusUnprocessableEntity, refused.Code)
	require.Equal(t, `document:2: [zone "z"] state: "on" is not in or out; did you mean in?`, refused.Findings.Error())

	history, err := client.History(t.Context())
	require.NoError(t, err)
	require.Len(t, history, 4)
	require.Equal(t, "ana", history[3].Author)
	status, err := client.Status(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, []string{"agent-3"}, status.Missing)
	require.False(t, status.Effect)
}

// TestPublishUnknown guards against a publish with an unknown outcome that is reported as not done.
func TestPublishUnknown(t *testing.T) {
	address, _, _ := newServer(t, func(config *ServerConfig) {
		config.Publish = func(context.Context, PublishRequest) (PublishResult, error) {
			return PublishResult{}, errors.New("the log does not answer")
		}
	})
	_, err := newTestClient(address).Publish(t.Context(), PublishRequest{})
	require.ErrorContains(t, err, "the outcome is unknown")
}

// TestPublishRefused guards against an operator who is told that a publish may have happened although the log refused
// it.
func TestPublishRefused(t *testing.T) {
	address, _, _ := newServer(t, func(config *ServerConfig) {
		config.Publish = func(context.Context, PublishRequest) (PublishResult, error) {
			return PublishResult{}, fmt.Errorf("%w: status 503", ErrNotPublished)
		}
	})
	_, err := newTestClient(address).Publish(t.Context(), PublishRequest{
		Text: "[zone \"z\"]\n",
	})
	var status *StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusFailedDependency, status.Code)
	require.Contains(t, status.Reason, "nothing was published")
}

// TestTokens guards against routes that answer without a valid token, or whose answer tells an existing path from
// another one.
func TestTokens(t *testing.T) {
	address, _, log := newServer(t, nil)
	var bodies []string
	for _, path := range []string{"/v1/document", "/v1/nothing", "/metrics", "/debug/pprof/", "/"} {
		for _, header := range []string{"", "Bearer wrong", "Bearer ", "Basic " + token} {
			code, body := get(t, address+path, header)
			require.Equal(t, http.StatusUnauthorized, code, path)
			bodies = append(bodies, body)
		}
	}
	for _, body := range bodies {
		require.Equal(t, bodies[0], body)
	}
	require.Contains(t, log.String(), "operator request without a valid token")
	require.NotContains(t, log.String(), "wrong")
	require.Equal(t, rejectRate, strings.Count(log.String(), "\n"), "a flood fills the log")
	code, _ := get(t, address+"/v1/nothing", "Bearer "+token)
	require.Equal(t, http.StatusNotFound, code)
}

// TestReady guards against a load balancer that cannot see readiness, and against operators who cannot see the reason.
func TestReady(t *testing.T) {
	var failure error
	address, _, _ := newServer(t, func(config *ServerConfig) {
		config.Ready = func() error { return failure }
	})
	code, _ := get(t, address+"/readyz", "")
	require.Equal(t, http.StatusOK, code)
	failure = errors.New("no revision of the document yet")
	code, body := get(t, address+"/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "no revision of the document yet")
	code, _ = get(t, address+"/healthz", "")
	require.Equal(t, http.StatusOK, code)
}

// TestMetrics guards against a metric that makes the registry panic, against processes of one test that share a
// registry, and against counts that do not reach the page.
func TestMetrics(t *testing.T) {
	refused := &bytes.Buffer{}
	metrics := NewMetrics(hclog.New(&hclog.LoggerOptions{
		Output: refused,
	}))
	require.NoError(t, NewMetrics(hclog.NewNullLogger()).Close())
	metrics.Scope.Tagged(map[string]string{
		"work-space": "weddings",
	}).Counter("jobs.ended").Inc(3)
	metrics.Scope.Counter("jobs.ended").Inc(1)
	require.NoError(t, metrics.Close())
	require.Contains(t, refused.String(), "metric left out")
	address, _, _ := newServer(t, func(config *ServerConfig) {
		config.Metrics = metrics.Handler
	})
	_, body := get(t, address+"/metrics", "Bearer "+token)
	require.Contains(t, body, "radishpath_jobs_ended{work_space=\"weddings\"} 3\n")
}

// TestLimits guards against a client that takes the process's memory or time with bodies or requests, and against
// errors that do not name the field.
func TestLimits(t *testing.T) {
	address, clock, _ := newServer(t, nil)
	client := newTestClient(address)
	_, err := client.Publish(t.Context(), PublishRequest{
		Text: strings.Repeat("#", maxBodyBytes),
	})
	var refused *StatusError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusRequestEntityTooLarge, refused.Code)
	err = client.call(t.Context(), http.MethodPut, "/v1/document", map[string]string{
		"base": "one",
	}, nil)
	require.ErrorContains(t, err, "field base at byte 13: is string, needs int64")
	for range operatorBurst - 2 {
		_, err = client.Document(t.Context())
		require.NoError(t, err)
	}
	_, err = client.Document(t.Context())
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusTooManyRequests, refused.Code)
	clock.Advance(headerTimeout)
	_, err = client.Document(t.Context())
	require.NoError(t, err)
}

func get(t *testing.T, url, authorization string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", authorization)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body := &bytes.Buffer{}
	_, err = body.ReadFrom(response.Body)
	require.NoError(t, err)
	return response.StatusCode, body.String()
}
