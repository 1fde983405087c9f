package caller

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/connlimit"
)

const (
	// defaultDrainDelay is the time that a load balancer needs to notice that /readyz fails.
	defaultDrainDelay = 2 * time.Second
	// defaultMaxWaitingCalls and defaultMaxCalls bound the memory that calls use. A call over the first limit does not
	// wait; a call over the second is rejected.
	defaultMaxWaitingCalls = 4096
	defaultMaxCalls        = 8192
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// Metrics counts panics of handlers; nil discards the counts.
	Metrics tally.Scope
	// Submit accepts a job and waits up to wait for its end. An error that is a Findings or wraps ErrLimitExceeded or
	// ErrNotAccepted means that the job is not run; after any other the outcome is unknown. When ctx ends with the
	// cause ErrShuttingDown, Submit returns the current state.
	Submit func(ctx context.Context, job *Job, wait time.Duration) (Status, error)
	// Lookup waits up to wait for the end of a job. An error that wraps ErrNotFound means that the workspace certainly
	// has no such job; after any other the state is unknown.
	Lookup func(ctx context.Context, workspace, id string, wait time.Duration) (Status, error)
	// Cancel requests the cancellation of a job. Its errors are those of Lookup.
	Cancel func(ctx context.Context, workspace, id string) (Status, error)
	// Authenticate returns the workspace of a token.
	Authenticate func(token string) (workspace string, ok bool)
	// Ready returns nil if the process can serve callers, otherwise the reason why not.
	Ready func() error
	// DrainDelay is the delay between the failure of /readyz and the end of waiting calls; zero means 2 s.
	DrainDelay time.Duration
	// MaxWaitingCalls and MaxCalls limit the concurrent calls that wait and all concurrent calls; zero means 4096 and
	// 8192.
	MaxWaitingCalls int
	MaxCalls        int
	// Limiter limits the connections; nil means no limits.
	Limiter *connlimit.Limiter
}

// withDefaults returns the configuration with its unset fields set.
func (c ServerConfig) withDefaults() ServerConfig {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.DrainDelay == 0 {
		c.DrainDelay = defaultDrainDelay
	}
	if c.MaxWaitingCalls == 0 {
		c.MaxWaitingCalls = defaultMaxWaitingCalls
	}
	if c.MaxCalls == 0 {
		c.MaxCalls = defaultMaxCalls
	}
	if c.Limiter == nil {
		c.Limiter = connlimit.NewUnlimited(c.Logger, c.Clock)
	}
	return c
}
