package main

import (
	"fmt"
	"net"
	"sync"
)

// limitListener accepts a connection only when fewer than the limit are open; others wait unanswered, as at a server
// that is out of threads.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(listener net.Listener, limit int) *limitListener {
	return &limitListener{
		Listener: listener,
		slots:    make(chan struct{}, limit),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot and a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &limitedConn{
		Conn:    conn,
		release: sync.OnceFunc(func() { <-l.slots }),
	}, nil
}

// Close ends Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	defer c.release()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
