package main

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/proof/harness"
)

// kind is what a port is for.
type kind int

const (
	kindUnknown kind = iota
	kindPeer
	kindLog
	kindLocal
	kindCallers
)

// meter reads the counters of processes.
type meter struct {
	clock     clockwork.Clock
	processes map[string]*harness.Process
	ports     map[uint16]kind
}

func newMeter(clock clockwork.Clock) *meter {
	return &meter{
		clock:     clock,
		processes: map[string]*harness.Process{},
		ports:     map[uint16]kind{},
	}
}

// add meters a process; the kinds are those of its listeners, in order.
func (m *meter) add(process *harness.Process, kinds ...kind) error {
	m.processes[process.Name] = process
	for i, address := range process.Listens() {
		if err := m.port(address, kinds[i]); err != nil {
			return err
		}
	}
	return nil
}

// port names the kind of a listener.
func (m *meter) port(address string, k kind) error {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("read address: %w", err)
	}
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return fmt.Errorf("read port: %w", err)
	}
	m.ports[uint16(number)] = k
	return nil
}

// read returns all counters of now.
func (m *meter) read() (snapshot, error) {
	s := snapshot{
		cpu:     map[string]time.Duration{},
		memory:  map[string]int64{},
		sockets: map[string]map[uint32]socket{},
	}
	all, err := sockets()
	if err != nil {
		return s, err
	}
	s.at = m.clock.Now()
	for name, process := range m.processes {
		if s.cpu[name], err = cpuTime(process.PID()); err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
		if s.memory[name], err = resident(process.PID()); err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
		own, inodesErr := inodes(process.PID())
		if inodesErr != nil {
			return s, fmt.Errorf("%s: %w", name, inodesErr)
		}
		s.sockets[name] = map[uint32]socket{}
		for inode := range own {
			if open, ok := all[inode]; ok {
				s.sockets[name][inode] = open
			}
		}
	}
	return s, nil
}

// usage returns what a process used between two snapshots. A connection that was closed in between is not counted;
// those between our own processes stay open.
func (m *meter) usage(name string, from, to snapshot) usage {
	const megabyte = 1e6
	seconds := to.at.Sub(from.at).Seconds()
	u := usage{
		cpu:    100 * (to.cpu[name] - from.cpu[name]).Seconds() / seconds,
		memory: float64(to.memory[name]) / megabyte,
	}
	for inode, now := range to.sockets[name] {
		before := from.sockets[name][inode]
		bytes := float64(now.sent-before.sent+now.received-before.received) / seconds
		u.segments += float64(now.segments-before.segments) / seconds
		switch m.kind(now) {
		case kindPeer:
			u.peer += bytes
		case kindLog:
			u.log += bytes
		case kindLocal:
			u.local += bytes
		case kindCallers:
			u.callers += bytes
		case kindUnknown:
		}
	}
	return u
}

// kind returns what a connection is for: one of its two ports is a listener's.
func (m *meter) kind(s socket) kind {
	if k, ok := m.ports[s.local]; ok {
		return k
	}
	return m.ports[s.remote]
}
