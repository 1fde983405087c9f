// Package boottime measures elapsed time that includes the time for which the machine was suspended. The steady clock
// of the Go runtime leaves that time out, so a process that was suspended would take old confirmations for fresh ones.
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

// Clock returns the time since the machine started.
type Clock struct {
	// Now returns the time since the machine started, suspension included.
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
		// Every supported kernel has this clock; without it no confirmation could be trusted.
		panic(fmt.Sprintf("boot-time clock: %v", err))
	}
	return time.Duration(t.Nano())
}
