package operator

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	reporting "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which counters and gauges are copied to the Prometheus registry.
const reportInterval = time.Second

// Metrics holds the scope that records the metrics of a process and the handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with the name prefix radishpath_, and registers the Go runtime and process collectors.
// Names are sanitized, because the registry would reject those of tally's internal metrics. A metric that the registry
// rejects, for example one with two different sets of tags, is logged and skipped; by default the reporter would panic.
func NewMetrics(logger hclog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := reporting.NewReporter(reporting.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			logger.Error("metric registration failed; metric skipped", "error", err)
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "radishpath",
		Separator:       reporting.DefaultSeparator,
		CachedReporter:  reporter,
		SanitizeOptions: &reporting.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: reporter.HTTPHandler(),
		closer:  closer,
	}
}

// Close reports all recorded values and stops the reporter.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
