package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// entryMemory is limits.memoryMb of the small sites' entries.
	entryMemory = 284
	// memoryInterval is the time between two looks at a process's memory.
	memoryInterval = 50 * time.Millisecond
	// restartDelay is the time until a process that was killed is started again.
	restartDelay = time.Second
)

// supervisor does to the process of an entry what the platform does: it kills it when it exceeds its memory, and starts
// it again.
type supervisor struct {
	deployment *deployment
	index      int
	// done is closed when the supervisor has ended.
	done chan struct{}
	// kills counts the times that the process exceeded its memory. It's read when done is closed.
	kills int
	// peak is the most memory that the process had, in MB. It's read when done is closed.
	peak int
}

// startSupervisor supervises the process of an entry until the context ends.
func startSupervisor(ctx context.Context, d *deployment, index int) *supervisor {
	s := &supervisor{
		deployment: d,
		index:      index,
		done:       make(chan struct{}),
	}
	go s.run(ctx)
	return s
}

func (s *supervisor) run(ctx context.Context) {
	defer close(s.done)
	d := s.deployment
	for ctx.Err() == nil {
		<-d.clock.After(memoryInterval)
		size := residentMemory(d.programs[s.index].cmd.Process.Pid)
		s.peak = max(s.peak, size)
		if size <= entryMemory {
			continue
		}
		s.kills++
		d.record.add("entry %d has %d MB of memory, over its %d MB: it is killed", s.index+1, size, entryMemory)
		if err := d.programs[s.index].restart(func() { <-d.clock.After(restartDelay) }); err != nil {
			d.record.add("entry %d doesn't start: %v", s.index+1, err)
			return
		}
		d.record.add("entry %d is started again", s.index+1)
	}
}

// residentMemory returns the memory of a process without its files, in MB; 0 if it isn't known.
func residentMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "RssAnon:" {
			continue
		}
		size, err := strconv.Atoi(fields[1])
		if err != nil {
			return 0
		}
		return size / 1024
	}
	return 0
}
