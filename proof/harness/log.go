package harness

import (
	"encoding/json"
	"net/http"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/logserver"
)

// Log is a log service.
type Log struct {
	*Process
	// Client reads and appends past the network of the test.
	Client *logservice.Log
	// Address is where it listens.
	Address string
}

func newLog(process *Process, address string) *Log {
	return &Log{
		Process: process,
		Client: logservice.NewLog(logservice.LogConfig{
			Address: address,
		}),
		Address: address,
	}
}

// SetFaults replaces all switches.
func (l *Log) SetFaults(faults logserver.Faults) {
	l.t.Helper()
	setFaults(l.t, l.Address, faults)
}

func setFaults(t T, address string, faults any) {
	t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		t.Fatalf("encode faults: %v", err)
	}
	client := rest.New(rest.Config{
		Address: address,
	})
	if err = client.Do(t.Context(), http.MethodPut, "/faults", body, nil); err != nil {
		t.Fatalf("set faults: %v", err)
	}
}
