package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	clock   clockwork.Clock
	started time.Time
	mu      sync.Mutex
	file    *os.File
}

func newRecord(clock clockwork.Clock, path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{
		clock:   clock,
		started: clock.Now(),
		file:    file,
	}, nil
}

// close closes the file. A failure leaves what was written before.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// line writes a line with the time since the start of the case, to the file and to standard output.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f %s\n", r.clock.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	// A failed write shows as a missing line.
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}
