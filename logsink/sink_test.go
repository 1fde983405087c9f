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

// blockingWriter is a writer that blocks until unblocked is closed. The first call of Write closes entered.
type blockingWriter struct {
	entered   chan struct{}
	enterOnce sync.Once
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	w.enterOnce.Do(func() {
		close(w.entered)
	})
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

// Guards against a blocked output that stops the process that logs, or makes it buffer lines without bound.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	output := &blockingWriter{
		entered:   make(chan struct{}),
		unblocked: make(chan struct{}),
	}
	sink := New(Config{
		Output: output,
		Clock:  clockwork.NewRealClock(),
		Rate:   1e9,
		Burst:  1e9,
	})
	writesDone := make(chan struct{})
	go func() {
		defer close(writesDone)
		_, _ = sink.Write([]byte("line\n"))
		// Once the sink's goroutine is blocked in the output with this line, it can't reset the drop counter.
		<-output.entered
		for range 3 * bufferLines {
			_, _ = sink.Write([]byte("line\n"))
		}
	}()
	timeout := clockwork.NewRealClock().After(20 * time.Second)
	select {
	case <-output.entered:
	case <-timeout:
		require.Fail(t, "the first line did not reach the output")
	}
	select {
	case <-writesDone:
	case <-timeout:
		require.Fail(t, "the writer is blocked")
	}
	require.GreaterOrEqual(t, sink.Dropped(), int64(bufferLines))
	close(output.unblocked)
	sink.Close()
	require.Contains(t, output.written.String(), "log lines dropped")
	require.LessOrEqual(t, strings.Count(output.written.String(), "line\n"), bufferLines+1)
}

// Guards against lines that exceed the rate being written: they must be dropped and counted.
func TestLinesAboveRateAreDropped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	output := &blockingWriter{
		entered:   make(chan struct{}),
		unblocked: make(chan struct{}),
	}
	close(output.unblocked)
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
	require.Equal(t, 5, strings.Count(output.written.String(), "early\n"))
	require.Equal(t, 5, strings.Count(output.written.String(), "late\n"))
	require.Contains(t, output.written.String(), "log lines dropped")
}

// Guards against a panic in a process that shuts down: a component that is still ending logs after the sink was closed.
func TestWriteDuringAndAfterClose(t *testing.T) {
	output := &blockingWriter{
		entered:   make(chan struct{}),
		unblocked: make(chan struct{}),
	}
	close(output.unblocked)
	sink := New(Config{
		Output: output,
		Clock:  clockwork.NewRealClock(),
	})
	_, err := sink.Write([]byte("before\n"))
	require.NoError(t, err)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 100 {
				_, _ = sink.Write([]byte("during\n"))
			}
		})
	}
	sink.Close()
	writers.Wait()
	droppedBefore := sink.Dropped()
	written, err := sink.Write([]byte("after\n"))
	require.NoError(t, err)
	require.Equal(t, len("after\n"), written)
	require.Equal(t, droppedBefore+1, sink.Dropped())
	require.Contains(t, output.written.String(), "before\n")
	require.NotContains(t, output.written.String(), "after\n")
}
