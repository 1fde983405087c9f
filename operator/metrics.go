package operator

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters and gauges move into the Prometheus registry.
const reportInterval = time.Second

// Metrics are the metrics of a process: a scope to record them and a handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names start with radishpath_. The registry panics on names with characters that
// Prometheus does not allow, and tally's own metrics have them, so that all names are sanitized.
func NewMetrics() *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "radishpath",
		Separator:       prometheus.DefaultSeparator,
		CachedReporter:  reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: reporter.HTTPHandler(),
		closer:  closer,
	}
}

// Close reports what was recorded and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
