package routing

import "time"

// sent is a request that this router placed on a server.
type sent struct {
	at       time.Time
	estimate time.Duration
	large    bool
}

// load is what the router knows of a server beyond its announcements.
type load struct {
	seen time.Time
	// sent are the requests without an observation, by job.
	sent map[string]sent
	// failures counts failures in a row, lastFailed is the job of the last one.
	failures   int
	lastFailed string
	// retry is when a failing server may be tried again; probe is the job that tries it.
	retry time.Time
	probe string
}

// fail counts a failure; several of one job count once.
func (l *load) fail(now time.Time, job string) {
	if l.probe == job {
		l.probe = ""
	}
	if l.failures > 0 && l.lastFailed == job {
		return
	}
	l.failures++
	l.lastFailed = job
	if l.failures >= failureLimit {
		pause := firstPause << min(l.failures-failureLimit, maxPauseShift)
		l.retry = now.Add(min(pause, lastPause))
	}
}

func (l *load) failing(now time.Time, idempotent bool) bool {
	if l.failures < failureLimit {
		return false
	}
	return now.Before(l.retry) || !idempotent || l.probe != ""
}

func (l *load) succeed() {
	l.failures = 0
	l.lastFailed = ""
	l.probe = ""
}
