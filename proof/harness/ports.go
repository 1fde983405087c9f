package harness

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// The ports from 10000 to 29999 lie below the range from which Linux takes the ports of outgoing connections (32768 and
// up), so that none of those occupies the port of a process that is down.
const (
	firstPort = 10000
	blocks    = 200
	blockSize = 100
)

// ports hands out ports of whole blocks. The listener on each block's first port keeps other test processes out of it.
type ports struct {
	guards []net.Listener
	next   int
	end    int
}

// newPorts claims a free block.
func newPorts() (*ports, error) {
	p := &ports{}
	if err := p.claim(); err != nil {
		return nil, err
	}
	return p, nil
}

// claim adds the next free block, so that a deployment may need more ports than one block has.
func (p *ports) claim() error {
	for block := range blocks {
		begin := firstPort + block*blockSize
		guard, err := listen(begin)
		if err != nil {
			continue
		}
		p.guards = append(p.guards, guard)
		p.next = begin + 1
		p.end = begin + blockSize
		return nil
	}
	return errors.New("no free block of ports")
}

// close gives the blocks back.
func (p *ports) close() {
	for _, guard := range p.guards {
		_ = guard.Close()
	}
}

// take returns an address that nothing listens on.
func (p *ports) take() (string, error) {
	for {
		for p.next < p.end {
			port := p.next
			p.next++
			probe, err := listen(port)
			if err != nil {
				continue
			}
			if err = probe.Close(); err != nil {
				return "", fmt.Errorf("close probe: %w", err)
			}
			return probe.Addr().String(), nil
		}
		if err := p.claim(); err != nil {
			return "", err
		}
	}
}

func listen(port int) (net.Listener, error) {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	listener, err := net.Listen("tcp", address) //nolint:noctx // binding a local port does not block.
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}
