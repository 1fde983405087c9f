package entry

import "sync"

// signal wakes everybody who waits for a change.
type signal struct {
	mu   sync.Mutex
	wake chan struct{}
}

func newSignal() *signal {
	return &signal{
		wake: make(chan struct{}),
	}
}

// changed returns a channel that is closed at the next notify. Take it before reading the state that is waited for.
func (s *signal) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

// notify wakes all who hold the current channel.
func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.wake)
	s.wake = make(chan struct{})
}
