package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Link forwards TCP connections to one address. A cut holds bytes, new connections and ends of connections back until
// it is healed; nothing is reset, as in a network that drops packets. Bytes that the Link had already let pass when
// it was cut may still arrive. Behind a Link, a connection to an address that nothing listens on is accepted and then
// closed.
type Link struct {
	listener net.Listener
	target   string
	// gates returns the gates for bytes to and from the target.
	gates func(conn net.Conn) (to, from *gate)
	to    *gate
	from  *gate

	done chan struct{}
	once sync.Once
	work sync.WaitGroup
}

// NewLink returns a Link from a free address to the target.
func NewLink(target string) (*Link, error) {
	to, from := newGate(), newGate()
	link, err := newLink(target, func(net.Conn) (*gate, *gate) { return to, from })
	if err != nil {
		return nil, err
	}
	link.to, link.from = to, from
	return link, nil
}

func newLink(target string, gates func(net.Conn) (to, from *gate)) (*Link, error) {
	listener, err := listen(0)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	link := &Link{
		listener: listener,
		target:   target,
		gates:    gates,
		done:     make(chan struct{}),
	}
	link.work.Go(link.accept)
	return link, nil
}

// Address is where the Link listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Close closes every connection and waits for their ends.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.listener.Close()
	})
	l.work.Wait()
}

// Cut holds the bytes of both directions.
func (l *Link) Cut() {
	l.CutTo()
	l.CutFrom()
}

// CutFrom holds the bytes from the target.
func (l *Link) CutFrom() {
	l.from.hold()
}

// CutTo holds the bytes and new connections to the target.
func (l *Link) CutTo() {
	l.to.hold()
}

// Heal lets everything pass again, what was held first.
func (l *Link) Heal() {
	l.to.release()
	l.from.release()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.forward(conn) })
	}
}

// forward joins a connection with a new one to the target until both directions have ended.
func (l *Link) forward(source net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	l.work.Go(func() {
		select {
		case <-l.done:
			cancel()
			_ = source.Close()
		case <-stop:
		}
	})
	defer func() { _ = source.Close() }()
	to, from := l.gates(source)
	if !to.wait(l.done) {
		return
	}
	dialer := net.Dialer{}
	target, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = target.Close() })()
	defer func() { _ = target.Close() }()
	var both sync.WaitGroup
	both.Go(func() { l.pass(target, source, to) })
	both.Go(func() { l.pass(source, target, from) })
	both.Wait()
}

// pass copies one direction until it ends.
func (l *Link) pass(to, from net.Conn, gate *gate) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if !gate.wait(l.done) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			// The reader of this direction is gone, so the writer must learn it.
			_ = from.Close()
			return
		}
		if readErr == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) {
			_ = half.CloseWrite()
			return
		}
		_ = to.Close()
		return
	}
}
