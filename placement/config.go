package placement

import "time"

// Config holds the constants of the scheduler. Zero values are replaced by defaults.
type Config struct {
	// Settle is how long after the first worker jobs that fit nowhere are kept: a new placer knows only the workers
	// that have announced themselves so far. Default 3 s, after which a silent agent counts as absent.
	DiscoveryPeriod time.Duration
	// Memory is how long removed workers still count when a job is checked for being runnable at all. Default 1 h.
	Memory time.Duration
	// Slack bounds how long newer short jobs of the same workspace pass a job. Default 2 min.
	MaxSlack time.Duration
	// Age is the waiting time that earns the full bonus against other workspaces. Default 10 min.
	WaitBonusPeriod time.Duration
	// Patience is how long the job with the reservation waits before others are moved for it. Default 5 s.
	ReservationPatience time.Duration
	// Probe is the first pause of a quarantined worker; it doubles up to 16 times that. Default 30 s.
	InitialProbeInterval time.Duration
	// Ramp is the time over which the workers of a returning zone take work again. Default 4 s.
	ZoneRampPeriod time.Duration
	// Warm is how long a guaranteed place stays clear of others after its workspace reclaimed and last used it.
	// Default 10 s.
	ReclaimProtection time.Duration
	// Urgent is the limit for evictions on behalf of urgent jobs. Default 500 ms: a change of placer takes 700 ms of
	// the 1.3 s in which urgent work starts.
	Urgent time.Duration
}

func (c Config) withDefaults() Config {
	for _, field := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{value: &c.DiscoveryPeriod, defaultValue: 3 * time.Second},
		{value: &c.Memory, defaultValue: time.Hour},
		{value: &c.MaxSlack, defaultValue: 2 * time.Minute},
		{value: &c.WaitBonusPeriod, defaultValue: 10 * time.Minute},
		{value: &c.ReservationPatience, defaultValue: 5 * time.Second},
		{value: &c.InitialProbeInterval, defaultValue: 30 * time.Second},
		{value: &c.ZoneRampPeriod, defaultValue: 4 * time.Second},
		{value: &c.ReclaimProtection, defaultValue: 10 * time.Second},
		{value: &c.Urgent, defaultValue: 500 * time.Millisecond},
	} {
		if *field.value == 0 {
			*field.value = field.defaultValue
		}
	}
	return c
}

// Policy is the part of the operators' document that concerns placement.
type Policy struct {
	Workspaces []Workspace
	Zones      []Zone
}

// Workspace is a tenant's part of the policy.
type Workspace struct {
	Name       string
	Share      int
	Guarantees []Shape
	// Reclaim is the time within which borrowers leave a guaranteed place. Default 10 s.
	Reclaim time.Duration
}

// Zone is an availability zone. Zones that are not listed are in service.
type Zone struct {
	Name string
	In   bool
	// Finish lets running work end in a zone that is out of service; otherwise it is checkpointed and moved.
	Finish bool
}

// Worker is a worker of the cell.
type Worker struct {
	ID           string
	Zone         string
	Rack         string
	Accelerators int
	Cores        int
	Memory       int64
	Leaving      bool
}
