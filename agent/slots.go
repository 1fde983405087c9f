package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
)

const (
	// reservedSlots always stay free from large requests, so that a small one never waits behind large ones only.
	reservedSlots = 1
	// largeSlots stay free from small requests while a large one waits or runs, so that large ones finish steadily.
	largeSlots = 1
)

var errQueueFull = errors.New("the queue is full")

// slots admits requests to the backend server. Each class has its own first-in, first-out queue.
type slots struct {
	total int
	queue int
	mu    sync.Mutex
	small slotClass
	large slotClass
}

// slotClass is what runs and waits of one class.
type slotClass struct {
	running int
	waiting []chan struct{}
}

func newSlots(total, queue int) *slots {
	return &slots{
		total: total,
		queue: queue,
	}
}

// acquire waits for a slot until ctx ends.
func (s *slots) acquire(ctx context.Context, large bool) error {
	s.mu.Lock()
	class := s.class(large)
	if len(class.waiting) >= s.queue {
		s.mu.Unlock()
		return fmt.Errorf("%w: %d requests wait", errQueueFull, s.queue)
	}
	granted := make(chan struct{})
	class.waiting = append(class.waiting, granted)
	s.grant()
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	return s.abandon(ctx, large, granted)
}

// occupy takes a slot for a request that was found running.
func (s *slots) occupy(large bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class(large).running++
}

// outstanding returns the requests that run or wait, in all and of the large class.
func (s *slots) outstanding() (all, large int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	big := s.large.running + len(s.large.waiting)
	return int32(big + s.small.running + len(s.small.waiting)), int32(big) //nolint:gosec // bounded by the queue.
}

func (s *slots) release(large bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class(large).running--
	s.grant()
}

// abandon leaves the queue. A slot that was granted meanwhile is passed on.
func (s *slots) abandon(ctx context.Context, large bool, granted chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	class := s.class(large)
	if i := slices.Index(class.waiting, granted); i >= 0 {
		class.waiting = slices.Delete(class.waiting, i, i+1)
	} else {
		class.running--
		s.grant()
	}
	return fmt.Errorf("wait for a slot: %w", context.Cause(ctx))
}

func (s *slots) class(large bool) *slotClass {
	if large {
		return &s.large
	}
	return &s.small
}

func (s *slots) grant() {
	for len(s.small.waiting) > 0 && s.free() && s.small.running < s.smallLimit() {
		s.small.admit()
	}
	for len(s.large.waiting) > 0 && s.free() && s.large.running < max(s.total-reservedSlots, 1) {
		s.large.admit()
	}
}

func (s *slots) free() bool {
	return s.small.running+s.large.running < s.total
}

func (s *slots) smallLimit() int {
	if s.large.running+len(s.large.waiting) == 0 {
		return s.total
	}
	return max(s.total-largeSlots, 1)
}

func (c *slotClass) admit() {
	close(c.waiting[0])
	c.waiting = c.waiting[1:]
	c.running++
}
