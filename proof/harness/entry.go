package harness

import (
	"net/http"
	"time"

	"radishpath.example/radishpath/rest"
)

// EntryConfig describes an entry. The harness chooses the addresses.
type EntryConfig struct {
	ID   string
	Zone string
	// Level is the log level; empty means the process's default.
	Level string
	// Retention and Linger are durations such as "10s"; empty means the process's default.
	Retention string
	Linger    string

	listen    string
	announced string
	caller    string
	admin     string
	log       string
	peers     []node
	decisions string
}

// Entry is an entry process.
type Entry struct {
	*Process
	// Caller and Admin are the HTTP addresses for callers and operators.
	Caller string
	Admin  string
}

// AwaitReady waits until /readyz answers 200, at most for the limit.
func (e *Entry) AwaitReady(limit time.Duration) {
	e.t.Helper()
	client := rest.New(rest.Config{
		Address: e.Admin,
	})
	deadline := e.clock.Now().Add(limit)
	for {
		err := client.Do(e.t.Context(), http.MethodGet, "/readyz", nil, nil)
		if err == nil {
			return
		}
		if e.clock.Now().After(deadline) {
			e.t.Fatalf("%s is not ready after %s: %v", e.Name, limit, err)
			return
		}
		e.clock.Sleep(pollStep)
	}
}
