package routing

import (
	"sync"
	"time"
)

const (
	// retryRatio limits retries to a tenth of the requests, so that retries cannot multiply an overload.
	retryRatio = 0.1
	// retryReserve is the budget of a workspace without recent requests, and the most that it can save.
	retryReserve = 10.0
	// retryRefill returns the reserve of a workspace with few requests within 20 s.
	retryRefill = 0.5
)

// Budget limits the retries of each workspace. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	balances map[string]balance
}

type balance struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a Budget with a full reserve for every workspace.
func NewBudget() *Budget {
	return &Budget{
		balances: map[string]balance{},
	}
}

// Deposit counts a first try.
func (b *Budget) Deposit(now time.Time, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.refill(now, workspace)
	current.tokens = min(current.tokens+retryRatio, retryReserve)
	b.balances[workspace] = current
}

// Withdraw reports whether a retry is allowed, and counts it.
func (b *Budget) Withdraw(now time.Time, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.refill(now, workspace)
	allowed := current.tokens >= 1
	if allowed {
		current.tokens--
	}
	b.balances[workspace] = current
	return allowed
}

func (b *Budget) refill(now time.Time, workspace string) balance {
	current, ok := b.balances[workspace]
	if !ok {
		return balance{
			tokens: retryReserve,
			at:     now,
		}
	}
	elapsed := max(now.Sub(current.at), 0)
	current.tokens = min(current.tokens+retryRefill*elapsed.Seconds(), retryReserve)
	current.at = now
	return current
}
