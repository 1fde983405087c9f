package agent

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/peer/peerpb"
)

// DefaultSlots is the number of requests that a backend server runs at the same time.
const DefaultSlots = 8

// DefaultQueue is the number of requests that may wait for a slot.
const DefaultQueue = 64

// Config configures an Agent.
type Config struct {
	// ID names the agent; it is the same after a restart.
	ID string
	// Address is where the agent listens, as host:port.
	Address string
	// Advertise is the address that peers use; empty means the listener's address.
	Advertise string
	// Zone is the availability zone of the worker and the backend server.
	Zone string
	// Entries are the addresses of the entries to start with; others are learned from them.
	Entries []string
	Clock   clockwork.Clock
	Logger  hclog.Logger
	Metrics tally.Scope
	Worker  WorkerPort
	Backend BackendPort
	Peers   Peers
	// Parse reads a document and returns whether a zone is in service. Its error lists the document's problems.
	Parse func(text string) (zoneIn func(zone string) bool, err error)
	// TLS turns on mutual TLS for the listener; nil means plain TCP.
	TLS *tls.Config
	// Listen replaces net.ListenConfig.Listen.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Slots is how many requests run at the same time, at most DefaultSlots; 0 means DefaultSlots.
	Slots int
	// Queue is how many requests may wait for a slot; 0 means DefaultQueue.
	Queue int
}

// Peers makes calls to other processes. A peer.Pool satisfies it.
type Peers interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Reply, error)
	Forget(address string)
}

// WorkerPort is what the agent needs of its worker.
type WorkerPort struct {
	Describe   func(ctx context.Context) (*peerpb.WorkerInfo, error)
	Lease      func(ctx context.Context, id string, ttl time.Duration) error
	Start      func(ctx context.Context, task Task) error
	Tasks      func(ctx context.Context) ([]TaskStatus, error)
	Checkpoint func(ctx context.Context, id string) error
	Stop       func(ctx context.Context, id string) error
	Remove     func(ctx context.Context, id string) error
	// Rejected is wrapped by errors that say that the worker did nothing. After any other error the outcome is
	// unknown.
	Rejected error
}

// BackendPort is what the agent needs of its backend server.
type BackendPort struct {
	Serve    func(ctx context.Context, request Request) (Answer, error)
	Requests func(ctx context.Context) ([]RequestStatus, error)
	Forget   func(ctx context.Context, id string) error
	Leaving  func(ctx context.Context) (bool, error)
	// Rejected is wrapped by errors that say that the request was not run. After any other error the outcome is
	// unknown.
	Rejected error
}

// States of tasks and requests as worker and backend server report them.
const (
	StateRunning      = "running"
	StateDone         = "done"
	StateFailed       = "failed"
	StateLapsed       = "lapsed"
	StateStopped      = "stopped"
	StateCheckpointed = "checkpointed"
)

// Task is one member of a gang as the worker runs it.
type Task struct {
	ID           string
	Lease        string
	Job          string
	Generation   int64
	Count        int32
	Member       int32
	Accelerators uint64
	Cores        int32
	Memory       int64
	Payload      []byte
	Resume       bool
}

// TaskStatus is a task with its state.
type TaskStatus struct {
	Task
	State  string
	Answer []byte
	Reason string
}

// Request is one request as the backend server runs it.
type Request struct {
	ID         string
	Job        string
	Generation int64
	Count      int32
	Payload    []byte
}

// Answer is a backend server's result.
type Answer struct {
	Body   []byte
	Failed bool
	Reason string
}

// RequestStatus is a request with its state.
type RequestStatus struct {
	Request
	State  string
	Answer Answer
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Listen == nil {
		c.Listen = (&net.ListenConfig{}).Listen
	}
	if c.Slots <= 0 || c.Slots > DefaultSlots {
		c.Slots = DefaultSlots
	}
	if c.Queue <= 0 {
		c.Queue = DefaultQueue
	}
	return c
}
