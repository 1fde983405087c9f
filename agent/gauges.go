package agent

import (
	"context"

	"github.com/uber-go/tally/v4"
)

// gauges are the agent's sizes and ages as metrics.
type gauges struct {
	answersBytes tally.Gauge
	requests     tally.Gauge
	tasks        tally.Gauge
	reservations tally.Gauge
	// confirmationAge is in seconds; starts stop at 3.
	confirmationAge tally.Gauge
	revision        tally.Gauge
}

func newGauges(metrics tally.Scope) gauges {
	return gauges{
		answersBytes:    metrics.Gauge("answers_bytes"),
		requests:        metrics.Gauge("requests_outstanding"),
		tasks:           metrics.Gauge("tasks_running"),
		reservations:    metrics.Gauge("reservations"),
		confirmationAge: metrics.Gauge("confirmation_age_seconds"),
		revision:        metrics.Gauge("document_revision"),
	}
}

func (a *Agent) updateGauges(context.Context) error {
	now := a.config.Clock.Now()
	a.gauges.answersBytes.Update(float64(a.answers.size()))
	a.gauges.requests.Update(float64(a.requests.outstanding()))
	a.gauges.tasks.Update(float64(a.tasks.running()))
	a.gauges.reservations.Update(float64(a.holds.count(now)))
	a.gauges.confirmationAge.Update(a.freshness.age(now).Seconds())
	a.gauges.revision.Update(float64(a.documents.current()))
	return nil
}
