package main

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

// Names of the published configuration.
const (
	callerHost    = "desk.example"
	weddingsKey   = "weddings-key"
	hotelsKey     = "hotels-key"
	urgentPrefix  = "/urgent/"
	costingPrefix = "/costing/"
	batchPrefix   = "/batch/"
)

// Bounds of the users' sheets.
const (
	contactTime   = 3000 * time.Millisecond
	cancelTime    = 3000 * time.Millisecond
	maxLeaseShort = 6 * time.Second
)

// cases returns the cases by number.
func cases() map[int]plannedCase {
	return map[int]plannedCase{
		6:  manyStartsAtOneExecutor(),
		7:  heartbeatsWithoutBirth(),
		8:  cancelledAtAnEntryCutFromTheStore(),
		9:  guaranteeBesideLastingWork(),
		10: refusedByTheJobsInterface(),
	}
}

// taskName returns the name of a task of the first step of a job.
func taskName(id string, index int) string {
	return fmt.Sprintf("%s.0.0.%d", id, index)
}

// otherThanScheduler returns the index of an entry that isn't the scheduler. The log of the scheduler says so.
func (d *deployment) otherThanScheduler() (int, error) {
	for i, entry := range d.entries {
		text, err := os.ReadFile(entry.logPath)
		if err != nil {
			return 0, fmt.Errorf("read log of %s: %w", entry.name, err)
		}
		if !bytes.Contains(text, []byte("scheduling begins")) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("each of %d entries has been the scheduler", len(d.entries))
}
