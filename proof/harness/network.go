package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
)

// outside names connections that none of the harness's processes opened, such as those of the test itself.
const outside = "test"

// identifyTries bounds the search for the process that opened a connection; one that has just been started may not be
// known yet.
const identifyTries = 20

// Network cuts the connections between pairs of processes, whichever of the two opened them. It holds one Link in
// front of each process and finds out from /proc which process opened a connection.
type Network struct {
	clock clockwork.Clock
	// pids returns the running processes by name.
	pids func() map[string]int

	mu    sync.Mutex
	gates map[direction]*gate
	links []*Link
}

// direction is from one process to another.
type direction struct {
	from string
	to   string
}

func newNetwork(clock clockwork.Clock, pids func() map[string]int) *Network {
	return &Network{
		clock: clock,
		pids:  pids,
		gates: map[direction]*gate{},
	}
}

// Cut holds the bytes between two processes in both directions.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay holds the bytes from one process to another, and connections that it opens to the other.
func (n *Network) CutOneWay(from, to string) {
	n.gate(from, to).hold()
}

// Heal lets the bytes between two processes pass again.
func (n *Network) Heal(a, b string) {
	n.gate(a, b).release()
	n.gate(b, a).release()
}

// HealAll lets all bytes pass again.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.gates {
		g.release()
	}
}

// Partition holds the bytes between every process of one side and every process of the other.
func (n *Network) Partition(side, other []string) {
	for _, a := range side {
		for _, b := range other {
			n.Cut(a, b)
		}
	}
}

func (n *Network) close() {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}

// front puts a Link in front of a process and returns its address.
func (n *Network) front(name, address string) (string, error) {
	link, err := newLink(address, func(conn net.Conn) (*gate, *gate) {
		source := n.identify(conn)
		return n.gate(source, name), n.gate(name, source)
	})
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, link)
	return link.Address(), nil
}

func (n *Network) gate(from, to string) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := direction{
		from: from,
		to:   to,
	}
	g, ok := n.gates[pair]
	if !ok {
		g = newGate()
		n.gates[pair] = g
	}
	return g
}

// identify returns the name of the process that opened the connection.
func (n *Network) identify(conn net.Conn) string {
	for range identifyTries {
		inode, ok := socketInode(conn)
		if ok && hasSocket(os.Getpid(), inode) {
			return outside
		}
		for name, pid := range n.pids() {
			if ok && hasSocket(pid, inode) {
				return name
			}
		}
		n.clock.Sleep(pollStep / 2)
	}
	return outside
}

// hasSocket reports whether the process has the socket open.
func hasSocket(pid int, inode string) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, file := range files {
		target, linkErr := os.Readlink(filepath.Join(directory, file.Name()))
		if linkErr == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the other end of an accepted IPv4 connection on this machine.
func socketInode(conn net.Conn) (string, bool) {
	const localField, remoteField, inodeField = 1, 2, 9
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	local, remote := portSuffix(conn.RemoteAddr()), portSuffix(conn.LocalAddr())
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], local) &&
			strings.HasSuffix(fields[remoteField], remote) {
			return fields[inodeField], true
		}
	}
	return "", false
}

// portSuffix is how /proc/net/tcp writes the port of an address.
func portSuffix(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return fmt.Sprintf(":%04X", tcp.Port)
}
