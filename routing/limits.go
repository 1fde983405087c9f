package routing

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// ErrRate marks a request over the rate of its workspace.
var ErrRate = errors.New("rate of the workspace exceeded")

// ErrQueue marks a request over the queue bound of its workspace.
var ErrQueue = errors.New("queue of the workspace is full")

// Limits are those of one workspace in the document; zero means no limit.
type Limits struct {
	Workspace string
	// Rate is in requests per second over all entries; Queue is the number of jobs that have not ended.
	Rate  int
	Queue int
	// Entries is the number of entries that share the rate; zero means one.
	Entries int
}

// admission holds a token bucket per workspace.
type admission struct {
	buckets map[string]*rate.Limiter
}

func (a *admission) admit(now time.Time, limits Limits, queued int) error {
	if limits.Queue > 0 && queued >= limits.Queue {
		return fmt.Errorf("workspace %s: %w: %d of %d", limits.Workspace, ErrQueue, queued, limits.Queue)
	}
	if limits.Rate <= 0 {
		delete(a.buckets, limits.Workspace)
		return nil
	}
	share := rate.Limit(float64(limits.Rate) / float64(max(limits.Entries, 1)))
	// One second's worth of requests may arrive at once.
	burst := max(int(share), 1)
	bucket, ok := a.buckets[limits.Workspace]
	if !ok {
		bucket = rate.NewLimiter(share, burst)
		a.buckets[limits.Workspace] = bucket
	}
	if bucket.Limit() != share {
		bucket.SetLimitAt(now, share)
		bucket.SetBurstAt(now, burst)
	}
	if !bucket.AllowN(now, 1) {
		return fmt.Errorf("workspace %s: %w: %d requests per second", limits.Workspace, ErrRate, limits.Rate)
	}
	return nil
}
