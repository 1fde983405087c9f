package logserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"radishpath.example/radishpath/rest"
)

// Values of Faults.Unavailable.
const (
	// unavailableClose closes every connection without an answer.
	unavailableClose = "close"
	// unavailableRefuse answers 503.
	unavailableRefuse = "refuse"
)

// Faults are the switches of a log server; the zero value has every fault off.
type Faults struct {
	// Unavailable is "close" or "refuse" (503); nothing is appended in either case.
	Unavailable string `json:"unavailable,omitempty"`
	// Reads delays reads.
	Reads rest.Duration `json:"reads,omitempty"`
	// Appends delays appends before they take effect. A delayed append takes effect even if its sender has given
	// up by then, as in a log service with a queue.
	Appends rest.Duration `json:"appends,omitempty"`
	// Lost is the number of appends to come that take effect and whose connection is then closed without an
	// answer; a negative number means all.
	Lost int `json:"lost,omitempty"`
	// Hang holds reads and appends forever without effect, also after the switch is turned off.
	Hang bool `json:"hang,omitempty"`
	// Rate replaces Config.Rate unless it is 0.
	Rate int `json:"rate,omitempty"`
	// Retention replaces Config.Retention unless it is 0.
	Retention rest.Duration `json:"retention,omitempty"`
	// Keep replaces Config.Keep unless it is 0.
	Keep int `json:"keep,omitempty"`
	// Truncate removes, once, the records of a stream that lie before an offset.
	Truncate map[string]int64 `json:"truncate,omitempty"`
}

func parseFaults(body io.Reader) (Faults, error) {
	faults := Faults{}
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return Faults{}, fmt.Errorf("decode faults: %w", err)
	}
	switch faults.Unavailable {
	case "", unavailableClose, unavailableRefuse:
		return faults, nil
	default:
		return Faults{}, errors.New(`decode faults: unavailable is neither "close" nor "refuse"`)
	}
}
