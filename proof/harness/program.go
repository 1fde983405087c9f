package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// errProgramFailed ends a program whose harness has failed.
var errProgramFailed = errors.New("harness failed")

// Program stands in for *testing.T, so that programs other than tests can use a Harness.
type Program struct {
	ctx      context.Context
	name     string
	cleanups []func()
	failure  error
}

// NewProgram returns a Program. The name becomes part of its directories.
func NewProgram(ctx context.Context, name string) *Program {
	return &Program{
		ctx:  ctx,
		name: name,
	}
}

// Cleanup registers a function for Close.
func (p *Program) Cleanup(f func()) {
	p.cleanups = append(p.cleanups, f)
}

// Context returns the program's context.
func (p *Program) Context() context.Context {
	return p.ctx
}

// Failed says whether Fatalf was called.
func (p *Program) Failed() bool {
	return p.failure != nil
}

// Fatalf records the failure and unwinds to Run.
func (p *Program) Fatalf(format string, args ...any) {
	p.failure = fmt.Errorf("%w: %s", errProgramFailed, fmt.Sprintf(format, args...))
	panic(p.failure)
}

// Helper does nothing.
func (p *Program) Helper() {}

// Logf prints a line.
func (p *Program) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// TempDir returns a directory that Close removes.
func (p *Program) TempDir() string {
	directory, err := os.MkdirTemp("", "radishpath-"+p.name+"-")
	if err != nil {
		p.Fatalf("create directory: %v", err)
	}
	p.Cleanup(func() { _ = os.RemoveAll(directory) })
	return directory
}

// Close runs the cleanups, the last one first.
func (p *Program) Close() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
}

// Run runs a function and returns its error, or the failure of the harness that ended it early.
func (p *Program) Run(run func() error) (err error) {
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		stopped, ok := failure.(error)
		if !ok || !errors.Is(stopped, errProgramFailed) {
			panic(failure)
		}
		err = stopped
	}()
	return run()
}
