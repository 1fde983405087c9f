package entry

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

// Config configures an Entry.
type Config struct {
	// ID names the entry; an instance that replaces another one has its own.
	ID string
	// Address is where other processes reach it, as host:port.
	Address string
	// Zone is the entry's availability zone.
	Zone string
	// Peers are the entries to start with; others are learned from them.
	Peers  []*peerpb.EntryInfo
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Metrics counts decisions and calls; nil counts nothing.
	Metrics tally.Scope
	Pool    *peer.Pool
	Log     LogService
	// Retention is how long the log keeps records.
	Retention time.Duration
	// TLS turns on mutual TLS between processes; nil means plain TCP.
	TLS *tls.Config
	// Trace receives the decision trace as JSON lines; nil keeps none.
	Trace io.Writer
}

const defaultRetention = time.Hour

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	return c
}
