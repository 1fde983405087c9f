// Package boottime measures elapsed time, including the time while the machine was suspended. The monotonic clock of
// the Go runtime excludes that time, so a process that was suspended would consider expired confirmations valid.
//
// # Usage
//
//	clock := boottime.NewClock()
//	sent := clock.Now()
//	age := clock.Now() - sent
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since the machine started.
type Clock struct {
	// Now returns the time since the machine started, including suspension.
	Now func() time.Duration
}

// NewClock returns the system's clock.
func NewClock() Clock {
	return Clock{
		Now: now,
	}
}

func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock. Without it the age of a confirmation is unknown.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
