package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Record collects what a case sent, what was answered and what ran. It is safe for concurrent use.
type Record struct {
	clock   clockwork.Clock
	path    string
	startAt time.Time
	mu      sync.Mutex
	lines   []string
}

// NewRecord returns an empty record that Save writes to record.txt in the case's folder.
func NewRecord(clock clockwork.Clock, folder string) *Record {
	return &Record{
		clock:   clock,
		path:    filepath.Join(folder, "record.txt"),
		startAt: clock.Now(),
	}
}

// Add adds a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s", r.clock.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

// AddSilently adds lines to the file only.
func (r *Record) AddSilently(lines ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, lines...)
}

// Save writes the record.
func (r *Record) Save() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(r.path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}
