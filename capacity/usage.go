package main

import "time"

// usage is what one process, or the mean process of a role, used per second of a measurement.
type usage struct {
	// cpu is in percent of a core.
	cpu float64
	// memory is resident, in MB of 10^6 bytes at the end.
	memory float64
	// peer, log, local and callers are received and sent payload bytes of TCP per second: between our own processes, with
	// the log service, between agent and worker, and with callers and operators.
	peer    float64
	log     float64
	local   float64
	callers float64
	// segments are received segments with data per second.
	segments float64
}

// mean returns the mean usage.
func mean(all []usage) usage {
	var total usage
	for _, u := range all {
		total.cpu += u.cpu
		total.memory += u.memory
		total.peer += u.peer
		total.log += u.log
		total.local += u.local
		total.callers += u.callers
		total.segments += u.segments
	}
	n := max(float64(len(all)), 1)
	return usage{
		cpu:      total.cpu / n,
		memory:   total.memory / n,
		peer:     total.peer / n,
		log:      total.log / n,
		local:    total.local / n,
		callers:  total.callers / n,
		segments: total.segments / n,
	}
}

// snapshot is the state of the counters of all processes at a time.
type snapshot struct {
	at      time.Time
	cpu     map[string]time.Duration
	memory  map[string]int64
	sockets map[string]map[uint32]socket
}
