package cmd

import (
	"syscall"

	"radishpath.example/radishpath/connlimit"
	"radishpath.example/radishpath/settings"
)

const (
	// connFileShare is the share of the descriptors that connections of clients may take, and as many those of peers. The
	// rest is left for the store, executors and connections to peers.
	connFileShare = 1.0 / 3
	// connMemoryShare is the share of the memory that connections of clients may take, connBytes what one takes that has
	// sent the head of a request.
	connMemoryShare = 0.25
	connBytes       = 64 << 10
	// requestMemoryShare is the share of the memory that unfinished and waiting requests of clients may take, and as much
	// those of peers.
	requestMemoryShare = 0.125
	// defaultMaxConns and defaultRequestBytes apply if the settings name no memory.
	defaultMaxConns     = 1024
	defaultRequestBytes = 64 << 20
	// minConns is the least number of connections.
	minConns = 16
)

// limits are the bounds of a process's servers.
type limits struct {
	conns        int
	peerConns    int
	requestBytes int64
}

// limitsOf returns the bounds that follow from the memory and the descriptors of a process.
func limitsOf(read settings.ProcessSettings, files int) limits {
	derived := limits{
		conns:        defaultMaxConns,
		peerConns:    int(connFileShare * float64(files)),
		requestBytes: defaultRequestBytes,
	}
	if read.MemoryMB > 0 {
		memory := float64(read.MemoryMB) * (1 << 20)
		derived.conns = int(connMemoryShare * memory / connBytes)
		derived.requestBytes = int64(requestMemoryShare * memory)
	}
	derived.conns = max(min(derived.conns, derived.peerConns), minConns)
	derived.peerConns = max(derived.peerConns, minConns)
	if read.MaxConns > 0 {
		derived.conns, derived.peerConns = read.MaxConns, read.MaxConns
	}
	return derived
}

// fileLimit returns the number of descriptors that the process may open.
func fileLimit(read settings.ProcessSettings) int {
	if read.Files > 0 {
		return read.Files
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return 1 << 20
	}
	return int(limit.Cur)
}

// newLimiters returns the limiters of the connections of clients and of peers.
func (p *process) newLimiters(c *Config) (clients, peers *connlimit.Limiter) {
	bounds := limitsOf(p.read, fileLimit(p.read))
	newLimiter := func(name string, conns int) *connlimit.Limiter {
		return connlimit.New(connlimit.Config{
			Logger:   p.logger,
			Metrics:  p.metrics.Scope.Tagged(map[string]string{"from": name}),
			Clock:    c.Clock,
			MaxConns: conns,
			MaxBytes: bounds.requestBytes,
		})
	}
	p.logger.Info("limits of servers", "connections", bounds.conns, "peers", bounds.peerConns,
		"bytes", bounds.requestBytes)
	return newLimiter("clients", bounds.conns), newLimiter("peers", bounds.peerConns)
}
