package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// errStopped ends a study whose harness has failed.
var errStopped = errors.New("harness failed")

// runner stands in for *testing.T, so that the program can use the harness of the process-level tests.
type runner struct {
	ctx      context.Context
	cleanups []func()
	failure  error
}

// Cleanup registers a function for close.
func (r *runner) Cleanup(f func()) {
	r.cleanups = append(r.cleanups, f)
}

// Context returns the program's context.
func (r *runner) Context() context.Context {
	return r.ctx
}

// Failed says whether Fatalf was called.
func (r *runner) Failed() bool {
	return r.failure != nil
}

// Fatalf records the failure and unwinds to study.play.
func (r *runner) Fatalf(format string, args ...any) {
	r.failure = fmt.Errorf("%w: %s", errStopped, fmt.Sprintf(format, args...))
	panic(r.failure)
}

// Helper does nothing.
func (r *runner) Helper() {}

// Logf prints a line.
func (r *runner) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// TempDir returns a directory that close removes.
func (r *runner) TempDir() string {
	directory, err := os.MkdirTemp("", "radishpath-capacity-")
	if err != nil {
		r.Fatalf("create directory: %v", err)
	}
	r.Cleanup(func() { _ = os.RemoveAll(directory) })
	return directory
}

// close runs the cleanups, the last one first.
func (r *runner) close() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}
