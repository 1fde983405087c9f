package cmd

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"radishpath.example/radishpath/settings"
)

const metricsInterval = time.Second

// credentials are the TLS configurations of a process; nil means plain TCP.
type credentials struct {
	client *tls.Config
	server *tls.Config
}

func newCredentials(from settings.TLSSettings) (credentials, error) {
	if !from.Enabled() {
		return credentials{}, nil
	}
	loaded, err := settings.NewCredentials(settings.RealSystem{}, from)
	if err != nil {
		return credentials{}, fmt.Errorf("load credentials: %w", err)
	}
	return credentials{
		client: loaded.Client(),
		server: loaded.Server(),
	}, nil
}

// metrics is a tally scope with its Prometheus endpoint.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

func newMetrics(prefix string) metrics {
	reporter := tallyprom.NewReporter(tallyprom.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, metricsInterval)
	return metrics{
		scope:   scope,
		handler: reporter.HTTPHandler(),
		closer:  closer,
	}
}

func (m metrics) close() {
	_ = m.closer.Close()
}

// addresses returns the addresses of nodes.
func addresses(nodes []settings.Node) []string {
	all := make([]string, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, node.Address)
	}
	return all
}

// hostOf returns host:port of a URL that the settings have checked.
func hostOf(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return address
	}
	return parsed.Host
}
