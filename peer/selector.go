package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxFailures bounds the failed addresses that a Selector remembers. Former peers never succeed again.
const maxFailures = 1024

// Selector orders addresses by their failures. It is safe for concurrent use. Times are readings of one monotonic
// clock.
type Selector struct {
	mu sync.Mutex
	// retryAt holds when an address that failed may be tried again.
	retryAt map[string]time.Duration
}

// NewSelector returns a Selector that knows no failures.
func NewSelector() *Selector {
	return &Selector{
		retryAt: map[string]time.Duration{},
	}
}

// Order returns addresses in the order in which they are to be tried: those without a failure first, in the given
// order, then those that may be tried soonest. The given order alone must not decide: a few addresses that don't answer
// may take all the time, so that the rest would never be tried.
func (s *Selector) Order(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(addresses), func(x, y string) int {
		return cmp.Compare(s.retryAt[x], s.retryAt[y])
	})
}

// RecordFailure records that a call to an address failed, and when it may be tried again.
func (s *Selector) RecordFailure(address string, retryAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAt[address] = retryAt
	if len(s.retryAt) <= maxFailures {
		return
	}
	oldest := address
	for other, at := range s.retryAt {
		if at < s.retryAt[oldest] {
			oldest = other
		}
	}
	delete(s.retryAt, oldest)
}

// RecordSuccess forgets the failures of an address.
func (s *Selector) RecordSuccess(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retryAt, address)
}

// Select returns the first address once that may be tried, and otherwise the first in order; empty if there are none.
func (s *Selector) Select(addresses []string, now time.Duration) string {
	if len(addresses) == 0 {
		return ""
	}
	s.mu.Lock()
	preferred := now >= s.retryAt[addresses[0]]
	s.mu.Unlock()
	if preferred {
		return addresses[0]
	}
	return s.Order(addresses)[0]
}
