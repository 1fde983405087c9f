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

// reportInterval is how often counters and gauges move into the Prometheus registry.
const reportInterval = time.Second

// Metrics are the metrics of a process: a scope to record them and a handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names start with radishpath_, with those of the Go runtime and of the process. Names
// are sanitized, because the registry refuses those of tally's own metrics otherwise. A metric that the registry
// refuses, for example one with two different sets of tags, is logged and left out; the reporter's default is a panic.
func NewMetrics(logger hclog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := reporting.NewReporter(reporting.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			logger.Error("metric left out", "error", err)
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

// Close reports what was recorded and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
