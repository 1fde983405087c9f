package cell

import "time"

// MaxClockDrift is the largest fraction by which an executor's clock may run slower than that of another process.
const MaxClockDrift = 0.02

// leaseExpiryMargin covers the time that an executor takes to end runs whose lease has expired.
const leaseExpiryMargin = 300 * time.Millisecond

// LeaseTimeout returns the time after a reading of an executor's clock by which all runs have certainly ended whose
// leases last for a duration from that reading on. An executor takes up to stopGrace to stop a run.
func LeaseTimeout(duration, stopGrace time.Duration) time.Duration {
	return duration + time.Duration(MaxClockDrift*float64(duration)) + stopGrace + leaseExpiryMargin
}
