// Package logsink provides a rate-limited, non-blocking io.Writer for log lines. Lines that exceed the buffer or the
// rate are dropped and counted, and the count is written as a separate log line.
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
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// bufferLines is the number of lines that are buffered for a slow output.
	bufferLines = 1024
	// defaultLinesPerSecond is the sustained rate, defaultBurstLines the number of lines that may exceed it at once.
	defaultLinesPerSecond = 200
	defaultBurstLines     = 1000
)

// Config configures a Sink.
type Config struct {
	Output io.Writer
	Clock  clockwork.Clock
	// Rate is the sustained rate in lines per second and Burst the number of lines that may be written at once; 0 means
	// 200 and 1000.
	Rate  float64
	Burst int
}

// Sink is an io.Writer that expects one log line per call of Write. It is safe for concurrent use.
type Sink struct {
	config  Config
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	// mu guards closed, so that no line is queued after Close has begun.
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// New returns a Sink and starts its writer goroutine, which Close stops.
func New(config Config) *Sink {
	if config.Rate == 0 {
		config.Rate = defaultLinesPerSecond
	}
	if config.Burst == 0 {
		config.Burst = defaultBurstLines
	}
	s := &Sink{
		config:  config,
		lines:   make(chan []byte, bufferLines),
		limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst),
		done:    make(chan struct{}),
	}
	go s.writeLines()
	return s
}

// Close writes the buffered lines and stops the sink. Lines written later are dropped: components that are still ending
// may log after the process has closed its sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	<-s.done
}

// Dropped returns the number of dropped lines that haven't been reported in the log yet.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Write queues a line, or drops it if the buffer is full or the rate is exceeded. It never blocks and returns no error.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.AllowN(s.config.Clock.Now(), 1) {
		s.dropped.Add(1)
		return len(line), nil
	}
	if !s.enqueue(bytes.Clone(line)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue queues a line; false if the sink is closed or the buffer is full.
func (s *Sink) enqueue(line []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return false
	}
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

func (s *Sink) writeLines() {
	defer close(s.done)
	for line := range s.lines {
		if dropped := s.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(s.config.Output, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", dropped)
		}
		// An error is ignored, because there is nowhere to report that the log itself can't be written.
		_, _ = s.config.Output.Write(line)
	}
}
