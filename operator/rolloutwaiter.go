package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// RolloutWaiterConfig configures a RolloutWaiter.
type RolloutWaiterConfig struct {
	Clock clockwork.Clock
	// Entries returns the addresses of all entries of the cell by id.
	Entries func(ctx context.Context) (map[string]string, error)
	// NextOffset returns the offset after the last record of the operators' log that an entry has applied.
	NextOffset func(ctx context.Context, address string) (int64, error)
}

// RolloutWaiter waits until all entries have applied a published document.
type RolloutWaiter struct {
	config RolloutWaiterConfig
}

const (
	// requestTimeout limits a single request to an entry.
	requestTimeout = time.Second
	pollInterval   = 200 * time.Millisecond
)

// NewRolloutWaiter returns a RolloutWaiter.
func NewRolloutWaiter(config RolloutWaiterConfig) *RolloutWaiter {
	return &RolloutWaiter{
		config: config,
	}
}

// Wait waits until every known entry has applied the record at offset of the operators' log or the timeout expires. It
// returns the ids of the entries that have not confirmed it.
func (w *RolloutWaiter) Wait(ctx context.Context, offset int64, timeout time.Duration) ([]string, error) {
	entries, err := w.config.Entries(ctx)
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	deadline := w.config.Clock.Now().Add(timeout)
	for {
		for id, address := range entries {
			if w.hasApplied(ctx, address, offset) {
				delete(entries, id)
			}
		}
		if len(entries) == 0 || !w.config.Clock.Now().Before(deadline) {
			return slices.Sorted(maps.Keys(entries)), nil
		}
		select {
		case <-ctx.Done():
			return slices.Sorted(maps.Keys(entries)), fmt.Errorf("wait until the document is in effect: %w", context.Cause(ctx))
		case <-w.config.Clock.After(pollInterval):
		}
	}
}

func (w *RolloutWaiter) hasApplied(ctx context.Context, address string, offset int64) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	nextOffset, err := w.config.NextOffset(ctx, address)
	return err == nil && nextOffset > offset
}
