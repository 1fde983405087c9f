package dispatch

import (
	"time"

	"radishpath.example/radishpath/cell"
)

// Default values of Config fields.
const (
	defaultReportTimeout  = 1500 * time.Millisecond
	defaultStopGrace      = 200 * time.Millisecond
	defaultRetention      = 2 * time.Minute
	defaultReclaimTimeout = 2700 * time.Millisecond
)

// maxWaitShare is the share of Config.ReclaimTimeout for which guaranteed work may wait for better resources. The rest
// of the limit covers preempting other work and starting the run.
const maxWaitShare = 0.45

// Instant is a moment on the boot-time clock and on the wall clock.
type Instant struct {
	// BootTime is the time since the machine booted, including suspension. It is monotonic.
	BootTime time.Duration
	// WallMs is the wall-clock time in milliseconds since the Unix epoch. It may jump.
	WallMs int64
}

// Config configures a Planner.
type Config struct {
	// LeaseDuration is the duration of a lease, counted from the executor clock value in its agent's report.
	LeaseDuration time.Duration
	// MaxLease is the duration to which executors shorten longer leases; 0 means that they don't.
	MaxLease time.Duration
	// PredecessorValidity is how long after this scheduler's takeover an earlier scheduler may still extend leases.
	PredecessorValidity time.Duration
	// ReportTimeout is how long after an agent's last report its executor receives no new work.
	ReportTimeout time.Duration
	// StopGrace is the maximum duration of stopping a run.
	StopGrace time.Duration
	// ReclaimTimeout is the time limit from the acceptance of guaranteed work to its start.
	ReclaimTimeout time.Duration
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// RemoteSlowdown is the factor by which a task takes longer away from its data, or a gang that spans several racks.
	RemoteSlowdown float64
	// Log records a decision.
	Log func(event string, fields ...any)
	// Count counts an event, by its cause, for the metrics.
	Count func(event, cause string)
}

func (c Config) withDefaults() Config {
	if c.MaxLease > 0 {
		// Executors end every run after MaxLease without contact, so waiting any longer is unnecessary.
		c.LeaseDuration = min(c.LeaseDuration, c.MaxLease)
	}
	if c.ReportTimeout == 0 {
		c.ReportTimeout = defaultReportTimeout
	}
	if c.StopGrace == 0 {
		c.StopGrace = defaultStopGrace
	}
	if c.ReclaimTimeout == 0 {
		c.ReclaimTimeout = defaultReclaimTimeout
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.RemoteSlowdown == 0 {
		c.RemoteSlowdown = 1
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
	if c.Count == nil {
		c.Count = func(string, string) {}
	}
	return c
}

// leaseTimeout is the time after a report of an executor's last response by which all of its runs have certainly ended,
// however far its agent has extended their leases.
func (c Config) leaseTimeout() time.Duration {
	return cell.LeaseTimeout(c.LeaseDuration, c.StopGrace)
}

// maxWait is how long guaranteed work waits for resources to be released, or for resources on which it runs faster,
// before it preempts other work.
func (c Config) maxWait() time.Duration {
	return time.Duration(maxWaitShare * float64(c.ReclaimTimeout))
}
