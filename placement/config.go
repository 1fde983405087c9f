package placement

import "time"

// Config holds the time limits of the scheduler. Zero values are replaced by defaults.
type Config struct {
	// DiscoveryPeriod is the time after the first worker during which jobs that fit on no known worker are not refused: a
	// new scheduler only knows the workers that have registered so far. Default 3 s, after which an agent that has not
	// registered counts as absent.
	DiscoveryPeriod time.Duration
	// Memory is how long removed workers still count when checking whether a job can ever run. Default 1 h.
	Memory time.Duration
	// MaxSlack bounds how much later a short job may arrive and still pass a longer one of its workspace. Default 2 min.
	MaxSlack time.Duration
	// WaitBonusPeriod is the waiting time after which a job has the full bonus against other workspaces. Default 10 min.
	WaitBonusPeriod time.Duration
	// ReservationPatience is how long the job with the reservation waits before other jobs are moved for it. Default 5 s.
	ReservationPatience time.Duration
	// InitialProbeInterval is the time between the quarantine of a worker and its first probe. It doubles with every
	// failure during the quarantine, up to 16 times this value. Default 30 s.
	InitialProbeInterval time.Duration
	// ZoneRampPeriod is the time over which the workers of a zone that returned to service accept jobs again. Its default
	// is 4 s.
	ZoneRampPeriod time.Duration
	// ReclaimProtection is how long other workspaces may not use a reclaimed slot after its workspace last used it.
	// Default 10 s.
	ReclaimProtection time.Duration
	// Urgent is the time limit of evictions for urgent jobs. Default 500 ms: urgent jobs have to start within 1.3 s, of
	// which a change of the active scheduler takes 700 ms.
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

// Policy is the placement part of the operators' document.
type Policy struct {
	Workspaces []Workspace
	Zones      []Zone
}

// Workspace is the policy of one tenant.
type Workspace struct {
	Name       string
	Share      int
	Guarantees []Shape
	// Reclaim is the time within which borrowers have to leave a guaranteed slot. Default 10 s.
	Reclaim time.Duration
}

// Zone is an availability zone. Zones that are not listed are in service.
type Zone struct {
	Name string
	// In is set while the zone is in service.
	In bool
	// Finish lets running jobs end in a zone that is out of service. Otherwise they are checkpointed and moved.
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
