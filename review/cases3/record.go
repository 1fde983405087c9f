package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/jonboulle/clockwork"
)

// record is the record of what was sent, answered and run in a case.
type record struct {
	clock clockwork.Clock
	mu    sync.Mutex
	file  *os.File
}

func newRecord(clock clockwork.Clock, path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{
		clock: clock,
		file:  file,
	}, nil
}

// add adds a line with the time.
func (r *record) add(format string, args ...any) {
	r.addLine(r.clock.Now().UTC().Format("2006-01-02T15:04:05.000") + " " + fmt.Sprintf(format, args...))
}

func (r *record) addLine(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error is ignored: the exit code tells the result, too.
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() {
	_ = r.file.Close()
}
