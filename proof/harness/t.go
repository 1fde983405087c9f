package harness

import "context"

// T is what a Harness needs of *testing.T, so that programs other than tests can use it too.
type T interface {
	Cleanup(f func())
	Context() context.Context
	Failed() bool
	Fatalf(format string, args ...any)
	Helper()
	Logf(format string, args ...any)
	TempDir() string
}
