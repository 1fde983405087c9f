package routing

import (
	"sync"
	"time"
)

const (
	// retryTokensPerRequest limits retries to a tenth of the requests, so that retries cannot amplify an overload.
	retryTokensPerRequest = 0.1
	// maxRetryTokens is the capacity of a bucket and its initial content.
	maxRetryTokens = 10.0
	// retryTokensPerSecond refills an empty bucket within 20 s, even for a workspace with few requests.
	retryTokensPerSecond = 0.5
)

// RetryBudget limits the retries of each workspace with a token bucket. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	buckets map[string]retryBucket
}

type retryBucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a RetryBudget with a full bucket for every workspace.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		buckets: map[string]retryBucket{},
	}
}

// RecordRequest credits the first attempt of a request to its workspace.
func (b *RetryBudget) RecordRequest(now time.Time, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(now, workspace)
	bucket.tokens = min(bucket.tokens+retryTokensPerRequest, maxRetryTokens)
	b.buckets[workspace] = bucket
}

// AllowRetry reports whether the workspace may retry now. It consumes a token if so.
func (b *RetryBudget) AllowRetry(now time.Time, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refill(now, workspace)
	allowed := bucket.tokens >= 1
	if allowed {
		bucket.tokens--
	}
	b.buckets[workspace] = bucket
	return allowed
}

func (b *RetryBudget) refill(now time.Time, workspace string) retryBucket {
	bucket, ok := b.buckets[workspace]
	if !ok {
		return retryBucket{
			tokens:     maxRetryTokens,
			refilledAt: now,
		}
	}
	elapsed := max(now.Sub(bucket.refilledAt), 0)
	bucket.tokens = min(bucket.tokens+retryTokensPerSecond*elapsed.Seconds(), maxRetryTokens)
	bucket.refilledAt = now
	return bucket
}
