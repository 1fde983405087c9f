package workerserver

import (
	"encoding/json"
	"fmt"
	"io"

	"radishpath.example/radishpath/rest"
)

// Faults are the switches of a worker and backend server; the zero value has every fault off.
type Faults struct {
	// Fail makes every task and request that starts from now on fail at once.
	Fail bool `json:"fail,omitempty"`
	// Delay holds every answer that long after the call took effect.
	Delay rest.Duration `json:"delay,omitempty"`
	// Lost is the number of POST calls to come that take effect and whose connection is then closed without an
	// answer; a negative number means all.
	Lost int `json:"lost,omitempty"`
	// Leaving is what /health says. A leaving backend server still runs the requests that it gets.
	Leaving bool `json:"leaving,omitempty"`
}

func parseFaults(body io.Reader) (Faults, error) {
	faults := Faults{}
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return Faults{}, fmt.Errorf("decode faults: %w", err)
	}
	return faults, nil
}
