package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// copyBufferBytes is the maximum number of bytes that are forwarded at once.
const copyBufferBytes = 32 << 10

// Fault is a fault that a Proxy injects.
type Fault int

// Faults.
const (
	// FaultNone forwards all data.
	FaultNone Fault = iota
	// FaultDelay delays all data by faultDelay.
	FaultDelay
	// FaultReset resets open and new connections.
	FaultReset
	// FaultDropToTarget drops the data that is sent to the target.
	FaultDropToTarget
	// FaultDropFromTarget drops the data that the target sends.
	FaultDropFromTarget
	// FaultDropAll drops the data of both directions; new connections are still accepted.
	FaultDropAll
)

// faultDelay is the delay that FaultDelay adds to each read of data.
const faultDelay = 300 * time.Millisecond

// Proxy forwards TCP connections to one address and injects faults. Once a fault has dropped data on a connection, the
// proxy drops all further data in that direction, even after the fault has ended, so that the stream never has gaps.
type Proxy struct {
	clock   clockwork.Clock
	address string
	target  string
	mu      sync.Mutex
	fault   Fault
	// listener is nil while connections are refused.
	listener   net.Listener
	conns      map[net.Conn]bool
	goroutines sync.WaitGroup
}

// NewProxy starts a proxy that forwards connections from a free loopback port to the target address.
func NewProxy(clock clockwork.Clock, target string) (*Proxy, error) {
	p := &Proxy{
		clock:  clock,
		target: target,
		conns:  map[net.Conn]bool{},
	}
	if err := p.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	p.address = p.listener.Addr().String()
	return p, nil
}

// listen starts to accept connections at an address.
func (p *Proxy) listen(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("proxy to %s: %w", p.target, err)
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	p.goroutines.Go(func() { p.acceptConns(listener) })
	return nil
}

// closeListener refuses connections from now on.
func (p *Proxy) closeListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// Close closes the listener and all connections, and waits until their goroutines have returned.
func (p *Proxy) Close() {
	p.closeListener()
	p.closeConns(false)
	p.goroutines.Wait()
}

// Refuse closes open connections and refuses new ones until Resume, as if nothing listened at the address.
func (p *Proxy) Refuse() {
	p.closeListener()
	p.closeConns(false)
}

// Resume ends all faults and accepts connections again. It fails if another process uses the address by now.
func (p *Proxy) Resume() error {
	p.SetFault(FaultNone)
	p.mu.Lock()
	refuses := p.listener == nil
	p.mu.Unlock()
	if !refuses {
		return nil
	}
	return p.listen(p.address)
}

// SetFault sets the fault of open and new connections.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == FaultReset {
		p.closeConns(true)
	}
}

func (p *Proxy) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(conn) })
	}
}

// closeConns closes the open connections, with a TCP reset or an orderly shutdown.
func (p *Proxy) closeConns(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) forward(source net.Conn) {
	defer p.track(source)()
	if p.currentFault() == FaultReset {
		p.closeConns(true)
		return
	}
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer p.track(target)()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyData(target, source, FaultDropToTarget) })
	directions.Go(func() { p.copyData(source, target, FaultDropFromTarget) })
	directions.Wait()
}

// copyData copies the data of one direction until it ends. dropFault is the fault that drops the data of this
// direction.
func (p *Proxy) copyData(destination, origin net.Conn, dropFault Fault) {
	buffer := make([]byte, copyBufferBytes)
	dropping := false
	for {
		n, readErr := origin.Read(buffer)
		fault := p.currentFault()
		if fault == FaultDelay {
			<-p.clock.After(faultDelay)
		}
		dropping = dropping || fault == dropFault || fault == FaultDropAll
		if !dropping {
			if _, err := destination.Write(buffer[:n]); err != nil {
				_ = origin.Close()
				return
			}
		}
		if readErr == nil {
			continue
		}
		if toTCP, ok := destination.(*net.TCPConn); ok && errors.Is(readErr, io.EOF) && !dropping {
			_ = toTCP.CloseWrite()
			return
		}
		_ = destination.Close()
		return
	}
}

// track registers an open connection. The returned function unregisters and closes it.
func (p *Proxy) track(conn net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
		_ = conn.Close()
	}
}
