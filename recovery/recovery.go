// Package recovery confines a panic to the call or component in which it occurred, logs it and counts it, so that one
// malformed message or unexpected error doesn't end the process.
//
// # Usage
//
//	err := recovery.Run(logger, metrics, "scheduler", func() error { return term.run(ctx) })
//	server.Handler = recovery.Handler(logger, metrics, "callers", handler)
package recovery

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// ErrPanic means that a call panicked. What it had done before is unknown.
var ErrPanic = errors.New("panic")

// Handler returns a handler that closes the connection of a request whose handling panics: whether the request had an
// effect is unknown, and no status says so.
func Handler(logger hclog.Logger, metrics tally.Scope, name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := Run(logger, metrics, name, func() error {
			next.ServeHTTP(w, r)
			return nil
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// Run calls run and returns its error or, if it panics, an error that wraps ErrPanic.
func Run(logger hclog.Logger, metrics tally.Scope, name string, run func() error) (err error) {
	defer func() {
		recovered := recover()
		switch recovered {
		case nil:
			return
		case http.ErrAbortHandler:
			panic(recovered)
		}
		metrics.Tagged(map[string]string{
			"component": name,
		}).Counter("panics").Inc(1)
		logger.Error("recovered from panic", "component", name, "panic", fmt.Sprint(recovered),
			"stack", string(debug.Stack()))
		err = fmt.Errorf("%s: %w: %v", name, ErrPanic, recovered)
	}()
	return run()
}
