package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of CPU time in /proc/PID/stat, USER_HZ, which is 100 on every Linux architecture that Go supports.
const tick = 10 * time.Millisecond

// cpuTime returns the CPU time, user and system, that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return parseStat(string(text))
}

// parseStat reads utime and stime, the 14th and 15th field. The name, in parentheses, may contain both spaces and
// parentheses.
func parseStat(text string) (time.Duration, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("read CPU time: %d fields", len(fields))
	}
	var ticks int64
	for _, field := range fields[userField : systemField+1] {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read CPU time: %w", err)
		}
		ticks += value
	}
	return time.Duration(ticks) * tick, nil
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	var size, pages int64
	if _, err = fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// inodes returns the inodes of the sockets that a process has open.
func inodes(pid int) (map[uint32]bool, error) {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(directory)
	if err != nil {
		return nil, fmt.Errorf("read sockets: %w", err)
	}
	found := map[uint32]bool{}
	for _, file := range files {
		target, linkErr := os.Readlink(filepath.Join(directory, file.Name()))
		number, ok := strings.CutPrefix(target, "socket:[")
		if linkErr != nil || !ok {
			continue
		}
		inode, parseErr := strconv.ParseUint(strings.TrimSuffix(number, "]"), 10, 32)
		if parseErr == nil {
			found[uint32(inode)] = true
		}
	}
	return found, nil
}

// loadAverage returns the machine's load over 1, 5 and 15 minutes.
func loadAverage() string {
	const averages = 3
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < averages {
		return "unknown"
	}
	return strings.Join(fields[:averages], " ")
}
