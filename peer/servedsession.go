package peer

import (
	"sync"

	"radishpath.example/radishpath/connlimit"
)

// servedSession counts the calls of a session that are being handled.
type servedSession struct {
	conn    *connlimit.Conn
	mu      sync.Mutex
	handled int
	// known is set once the session has brought a request.
	known bool
}

// begin notes that a request was read whole. From the first one on, the session may be silent for as long as it wants.
func (s *servedSession) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handled++
	if !s.known {
		s.known = true
		s.conn.SetReadTimeout(0)
	}
	s.conn.Serve()
}

// end notes that a call has ended, and whether it had begun.
func (s *servedSession) end(begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun {
		s.handled--
	}
	if s.known && s.handled == 0 {
		s.conn.Rest()
	}
}
