package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

// An output that takes nothing must not stop the process that logs, nor make it keep lines without bound.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	output := &gate{
		open: make(chan struct{}),
	}
	sink := New(Config{
		Output: output,
		Clock:  clockwork.NewRealClock(),
		Rate:   1e9,
		Burst:  1e9,
	})
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * bufferLines {
			_, _ = sink.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-clockwork.NewRealClock().After(20 * time.Second):
		require.Fail(t, "the writer is blocked")
	}
	require.GreaterOrEqual(t, sink.Dropped(), int64(bufferLines))
	close(output.open)
	sink.Close()
	require.Contains(t, output.text.String(), "log lines dropped")
	require.LessOrEqual(t, strings.Count(output.text.String(), "line\n"), bufferLines+1)
}

// A burst of lines must not become a stream: beyond the rate, lines are dropped and counted.
func TestRateIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	output := &gate{
		open: make(chan struct{}),
	}
	close(output.open)
	sink := New(Config{
		Output: output,
		Clock:  clock,
		Rate:   10,
		Burst:  5,
	})
	for range 20 {
		_, err := sink.Write([]byte("early\n"))
		require.NoError(t, err)
	}
	clock.Advance(time.Second)
	for range 20 {
		_, err := sink.Write([]byte("late\n"))
		require.NoError(t, err)
	}
	sink.Close()
	require.Equal(t, 5, strings.Count(output.text.String(), "early\n"))
	require.Equal(t, 5, strings.Count(output.text.String(), "late\n"))
	require.Contains(t, output.text.String(), "log lines dropped")
}
