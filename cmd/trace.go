package cmd

import (
	"fmt"
	"io"
	"os"
)

const traceMode = 0o600

// openTrace opens the decision trace; it is discarded when no path is set.
func openTrace(path string) (io.WriteCloser, error) {
	if path == "" {
		return nopCloser{
			Writer: io.Discard,
		}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceMode)
	if err != nil {
		return nil, fmt.Errorf("open decision trace: %w", err)
	}
	return file, nil
}

// nopCloser adds a Close that does nothing.
type nopCloser struct {
	io.Writer
}

// Close does nothing.
func (nopCloser) Close() error {
	return nil
}
