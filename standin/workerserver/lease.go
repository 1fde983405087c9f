package workerserver

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// lease is the permission to run tasks until it expires.
type lease struct {
	expires time.Time
	timer   clockwork.Timer
}

// live reports whether the lease has not expired.
func (l *lease) live(now time.Time) bool {
	return now.Before(l.expires)
}
