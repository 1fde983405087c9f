package workerserver

import (
	"time"

	"radishpath.example/radishpath/logservice"
)

// usage is the history of what the tasks occupied, as far back as the reports need it.
type usage struct {
	delay   time.Duration
	samples []sample
}

type sample struct {
	time  time.Time
	usage logservice.Usage
}

// add notes a change.
func (u *usage) add(now time.Time, changed logservice.Usage) {
	u.samples = append(u.samples, sample{
		time:  now,
		usage: changed,
	})
	u.drop(now)
}

// drop forgets the samples that a newer one replaces in all reports to come.
func (u *usage) drop(now time.Time) {
	for len(u.samples) > 1 && !u.samples[1].time.After(now.Add(-u.delay)) {
		u.samples = u.samples[1:]
	}
}

// report returns what the tasks occupied before the delay.
func (u *usage) report(now time.Time) logservice.Usage {
	u.drop(now)
	if len(u.samples) == 0 || u.samples[0].time.After(now.Add(-u.delay)) {
		return logservice.Usage{}
	}
	return u.samples[0].usage
}
