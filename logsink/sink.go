// Package logsink writes log lines without ever blocking the writer. Lines beyond the buffer or the rate are dropped
// and counted, and the count is written as a line of its own.
//
// # Usage
//
//	sink := logsink.New(logsink.Config{
//		Output: os.Stdout,
//		Clock:  clock,
//	})
//	logger := hclog.New(&hclog.LoggerOptions{Output: sink})
//	defer sink.Close()
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// bufferLines is how many lines wait for a slow output.
	bufferLines = 1024
	// defaultRate is how many lines a second are written in the long run, and defaultBurst how many at once.
	defaultRate  = 200
	defaultBurst = 1000
)

// Config configures a Sink.
type Config struct {
	Output io.Writer
	Clock  clockwork.Clock
	// Rate is lines per second, Burst lines at once; 0 means the defaults.
	Rate  float64
	Burst int
}

// Sink is an io.Writer that takes one log line a call.
type Sink struct {
	config  Config
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	ended   chan struct{}
}

// New starts a sink.
func New(config Config) *Sink {
	if config.Rate == 0 {
		config.Rate = defaultRate
	}
	if config.Burst == 0 {
		config.Burst = defaultBurst
	}
	s := &Sink{
		config: config,
		lines:  make(chan []byte, bufferLines),
		limit:  rate.NewLimiter(rate.Limit(config.Rate), config.Burst),
		ended:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Close writes what waits and ends the sink. Nothing may be written afterwards.
func (s *Sink) Close() {
	close(s.lines)
	<-s.ended
}

// Dropped returns how many lines were dropped and not yet reported.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Write queues a line, or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.AllowN(s.config.Clock.Now(), 1) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.ended)
	for line := range s.lines {
		if dropped := s.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(s.config.Output, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", dropped)
		}
		// There is nowhere to report that the log itself can't be written.
		_, _ = s.config.Output.Write(line)
	}
}
