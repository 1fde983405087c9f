package executorserver

import "time"

// capacityNotice is the time after a reduction of the capacity within which starts may still exceed it. It covers a
// heartbeat and a report, and is what operators are told for changes of an executor.
const capacityNotice = 5 * time.Second

// capacity is the number of an executor's accelerators, which may change while it runs.
type capacity struct {
	current int64
	// previous is the highest capacity that was in force less than capacityNotice before changedAt.
	previous  int64
	changedAt time.Time
}

// change sets the capacity.
func (c *capacity) change(accelerators int64, now time.Time) {
	c.previous = c.knownMaximum(now, false)
	c.current = accelerators
	c.changedAt = now
}

// knownMaximum returns the highest capacity that the sender of a start that is carried out now may have known.
func (c *capacity) knownMaximum(now time.Time, late bool) int64 {
	notice := capacityNotice
	if late {
		notice += maxCallDelay
	}
	if now.Sub(c.changedAt) > notice {
		return c.current
	}
	return max(c.current, c.previous)
}
