package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
)

// link forwards connections from an address to a target. While it is cut, it resets the open connections and refuses
// new ones.
type link struct {
	address  string
	target   string
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newLink(ctx context.Context, target string) (*link, error) {
	l := &link{
		address: "127.0.0.1:0",
		target:  target,
		conns:   map[net.Conn]bool{},
	}
	if err := l.restore(ctx); err != nil {
		return nil, err
	}
	l.address = l.listener.Addr().String()
	return l, nil
}

// cut resets the open connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// restore forwards connections again.
func (l *link) restore(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen for link: %w", err)
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(ctx, listener)
	return nil
}

func (l *link) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, conn)
	}
}

func (l *link) forward(ctx context.Context, source net.Conn) {
	defer l.track(source)()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer l.track(target)()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{source, target}, {target, source}} {
		go func() {
			// The end of either direction ends both.
			_, _ = io.Copy(pair[1], pair[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// track registers a connection. The returned function closes it and forgets it.
func (l *link) track(conn net.Conn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
		_ = conn.Close()
	}
}
