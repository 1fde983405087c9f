package workerserver

import (
	"encoding/json"
	"fmt"
	"io"
)

// record keeps the events in memory and copies each to a writer at once.
type record struct {
	lines []byte
	sink  io.Writer
}

// add appends an event.
func (r *record) add(event Event) error {
	line, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	line = append(line, '\n')
	r.lines = append(r.lines, line...)
	if r.sink == nil {
		return nil
	}
	if _, err = r.sink.Write(line); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}
