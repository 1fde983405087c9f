package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// SetSeedAddresses replaces the addresses of the entries that the settings name. Former ones are forgotten once a
// scheduler lists all entries.
func (c *Controller) SetSeedAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(addresses, c.seedAddresses) {
		return
	}
	c.seedAddresses = addresses
	c.addEntries(addresses)
}

// addEntries puts entries before all others that are known, and reports soon. The caller holds the mutex.
func (c *Controller) addEntries(addresses []string) {
	others := slices.DeleteFunc(slices.Clone(c.entryAddresses), func(address string) bool {
		return slices.Contains(addresses, address)
	})
	entries := slices.Concat(addresses, others)
	c.entryAddresses = entries[:min(len(entries), maxEntryAddresses)]
	notify(c.reportSignal)
}

// lookupLoop looks the scheduler up in the store whenever none has replied to a report for an interval, which grows as
// long as none replies. The entries that the agent knows may all be gone, and those that the settings name may be
// stale.
func (c *Controller) lookupLoop(ctx context.Context) {
	if c.config.LookupScheduler == nil {
		return
	}
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = lookupInterval
	intervals.RandomizationFactor = lookupSpread
	intervals.Multiplier = 2
	intervals.MaxInterval = maxLookupInterval
	intervals.Reset()
	lookedUpAt, interval := c.config.BootTime.Now(), intervals.NextBackOff()
	contacted := false
	for ctx.Err() == nil {
		contactAt := c.lastContact()
		if contactAt > lookedUpAt && !contacted {
			contacted = true
			intervals.Reset()
			interval = intervals.NextBackOff()
		}
		if wait := max(contactAt, lookedUpAt) + interval - c.config.BootTime.Now(); wait > 0 {
			c.sleep(ctx, c.firstContact(contacted), wait)
			continue
		}
		c.lookUpScheduler(ctx)
		lookedUpAt, interval, contacted = c.config.BootTime.Now(), intervals.NextBackOff(), false
	}
}

// firstContact returns the signal that ends the wait of a grown interval: the first reply after a lookup. Later ones
// only prolong the wait.
func (c *Controller) firstContact(contacted bool) <-chan struct{} {
	if contacted {
		return nil
	}
	return c.contactSignal
}

func (c *Controller) lastContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contactAt
}

// lookUpScheduler adds the scheduler to the entries if the store names one that isn't known.
func (c *Controller) lookUpScheduler(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	address, err := c.config.LookupScheduler(ctx)
	if err != nil {
		c.config.Logger.Warn("scheduler lookup failed", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := address != "" && !slices.Contains(c.entryAddresses, address)
	c.config.Logger.Info("scheduler looked up", "address", address, "new", isNew, "entries", len(c.entryAddresses),
		"silence", c.config.BootTime.Now()-c.contactAt)
	if isNew {
		c.addEntries([]string{address})
	}
}
