package routing

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// ErrRateLimited is returned for a request that exceeds the request rate of its workspace.
var ErrRateLimited = errors.New("request rate of the workspace exceeded")

// ErrQueueFull is returned when the workspace already has its maximum number of unfinished jobs.
var ErrQueueFull = errors.New("job queue of the workspace is full")

// Limits are the admission limits of one workspace, set in the document; zero means no limit.
type Limits struct {
	Workspace string
	// RequestsPerSecond applies to all entries together.
	RequestsPerSecond int
	// MaxUnfinishedJobs bounds the jobs that have not ended.
	MaxUnfinishedJobs int
	// Entries is the number of entries that share RequestsPerSecond; zero means one.
	Entries int
}

// admissionController applies the admission limits. It holds a token bucket per workspace for the request rate.
type admissionController struct {
	buckets map[string]*rate.Limiter
}

func (a *admissionController) admit(now time.Time, limits Limits, unfinishedJobs int) error {
	if limits.MaxUnfinishedJobs > 0 && unfinishedJobs >= limits.MaxUnfinishedJobs {
		return fmt.Errorf("workspace %s: %w: %d of %d", limits.Workspace, ErrQueueFull, unfinishedJobs,
			limits.MaxUnfinishedJobs)
	}
	if limits.RequestsPerSecond <= 0 {
		delete(a.buckets, limits.Workspace)
		return nil
	}
	entryRate := rate.Limit(float64(limits.RequestsPerSecond) / float64(max(limits.Entries, 1)))
	// A burst may use up to one second's worth of requests.
	burst := max(int(entryRate), 1)
	bucket, ok := a.buckets[limits.Workspace]
	if !ok {
		bucket = rate.NewLimiter(entryRate, burst)
		a.buckets[limits.Workspace] = bucket
	}
	if bucket.Limit() != entryRate {
		bucket.SetLimitAt(now, entryRate)
		bucket.SetBurstAt(now, burst)
	}
	if !bucket.AllowN(now, 1) {
		return fmt.Errorf("workspace %s: %w: %d requests per second", limits.Workspace, ErrRateLimited,
			limits.RequestsPerSecond)
	}
	return nil
}
