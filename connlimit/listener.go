package connlimit

import (
	"errors"
	"net"
	"time"
)

// minAcceptDelay and maxAcceptDelay bound the pause after an error to accept a connection, which doubles each time.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// listener is a listener whose connections count for a limiter.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for the next connection that the limiter admits.
func (l *listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err //nolint:wrapcheck // servers compare it
		}
		if err != nil {
			l.limiter.noteAcceptError(err)
			<-l.limiter.config.Clock.After(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		conn := l.limiter.NewConn(inner)
		if l.limiter.admit(conn) {
			return conn, nil
		}
		_ = inner.Close()
	}
}

func (l *Limiter) noteAcceptError(err error) {
	l.config.Metrics.Counter("accept_errors").Inc(1)
	l.config.Logger.Warn("failed to accept a connection; retrying", "error", err)
}
