package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sort"
	"time"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/standin/workerserver"
)

// StateKilled is the state of an end that the harness adds for work that ran when its worker was killed.
const StateKilled = "killed"

// Events returns the records of all workers in order of time. A lapse counts at the time when the lease expired.
func (h *Harness) Events() []workerserver.Event {
	h.t.Helper()
	h.mu.Lock()
	workers := h.workers
	h.mu.Unlock()
	all := []workerserver.Event{}
	for _, worker := range workers {
		events, err := readRecord(worker.record)
		if err != nil {
			h.t.Fatalf("record of %s: %v", worker.Name, err)
		}
		all = append(all, withDeaths(events, worker.Deaths())...)
	}
	sortEvents(all)
	return all
}

func parseRecord(text []byte) ([]workerserver.Event, error) {
	events := []workerserver.Event{}
	for line := range bytes.Lines(text) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			// The worker is writing this line.
			break
		}
		event := workerserver.Event{}
		if err := json.Unmarshal(line, &event); err != nil {
			return nil, fmt.Errorf("decode %q: %w", line, err)
		}
		if event.Event == workerserver.EventLapse {
			event.Time = event.Expired
		}
		events = append(events, event)
	}
	return events, nil
}

func readRecord(path string) ([]workerserver.Event, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read record: %w", err)
	}
	return parseRecord(text)
}

// sortEvents sorts by time; ends come before starts of the same time.
func sortEvents(events []workerserver.Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		return ends(a) && !ends(b)
	})
}

// withDeaths adds the ends of what ran on a worker when it died.
func withDeaths(events []workerserver.Event, deaths []time.Time) []workerserver.Event {
	sortEvents(events)
	result := []workerserver.Event{}
	open := map[string]workerserver.Event{}
	die := func(death time.Time) {
		for _, event := range open {
			event.Time = death
			event.Event = workerserver.EventEnd
			event.State = StateKilled
			result = append(result, event)
		}
		clear(open)
	}
	for _, event := range events {
		for len(deaths) > 0 && event.Time.After(deaths[0]) {
			die(deaths[0])
			deaths = deaths[1:]
		}
		result = append(result, event)
		if starts(event) {
			open[event.Kind+event.ID] = event
		}
		if ends(event) {
			delete(open, event.Kind+event.ID)
		}
	}
	if len(deaths) > 0 {
		die(deaths[0])
	}
	return result
}

// completes reports whether the work was done.
func completes(event workerserver.Event) bool {
	return event.Event == workerserver.EventEnd && event.State == logservice.StateDone
}

func ends(event workerserver.Event) bool {
	return event.Event == workerserver.EventEnd || event.Event == workerserver.EventLapse
}

func starts(event workerserver.Event) bool {
	return event.Event == workerserver.EventStart
}
