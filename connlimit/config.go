package connlimit

import (
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
)

// Config configures a Limiter.
type Config struct {
	Logger  hclog.Logger
	Metrics tally.Scope
	Clock   clockwork.Clock
	// MaxConns is the largest number of connections.
	MaxConns int
	// MaxBytes is the largest number of bytes that are held for requests.
	MaxBytes int64
}
