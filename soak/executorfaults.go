package main

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/standin/executorserver"
)

const (
	// stopGrace is how long stopped runs may go on.
	stopGrace = 600 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of late calls. The platform's range is 2 s to 12 s; the soak lasts
	// about that long, so that it uses a shorter one.
	minLateDelay = 500 * time.Millisecond
	maxLateDelay = 6 * time.Second
	// fullCapacity is the number of accelerators of an executor while no fault reduces it.
	fullCapacity = 8
	// firstNewID is above the numbers in the first ids of the executors.
	firstNewID = 100
)

// baseFaults returns the faults of an executor at all times.
func baseFaults() executorserver.Faults {
	return executorserver.Faults{
		StopGrace: stopGrace,
	}
}

// injectExecutorFault injects one random fault of an executor, which ends in the background. Every parameter is drawn
// even if the kind of fault doesn't use it.
func (s *soakRun) injectExecutorFault() {
	s.faultCount++
	duration := time.Duration(300+s.executorRandom.IntN(3200)) * time.Millisecond
	downtime := time.Duration(s.executorRandom.IntN(3000)) * time.Millisecond
	delay := time.Duration(s.executorRandom.IntN(4000)) * time.Millisecond
	faults := s.lateCallFaults()
	executor := s.cluster.Executors[s.executorRandom.IntN(len(s.cluster.Executors))]
	reducedCapacity := int64(s.executorRandom.IntN(fullCapacity))
	kind := s.executorRandom.IntN(8)
	newID := fmt.Sprintf("i-%d", firstNewID+s.faultCount)
	s.cluster.Recorder.RecordEvent("executor fault kind %d for %s, downtime %s, delay %s", kind, duration, downtime, delay)
	s.background.Go(func() {
		switch kind {
		case 0, 1:
			s.delayCalls(executor, faults, duration)
		case 2:
			s.delayCalls(executor, faults, duration)
			executor.Restart()
		case 3:
			s.delayCalls(executor, faults, duration)
			executor.DelayHeartbeat(delay)
			executor.Crash(downtime)
		case 4:
			executor.Crash(downtime)
		case 5:
			executor.RestartAs(newID)
		case 6:
			executor.SetCapacity(reducedCapacity)
			<-s.config.Clock.After(duration)
			executor.SetCapacity(fullCapacity)
		case 7:
			executor.Leave(duration, delay, downtime)
		}
	})
}

// delayCalls lets an executor carry out calls late for a duration.
func (s *soakRun) delayCalls(
	executor *executorserver.Executor, faults executorserver.Faults, duration time.Duration,
) {
	executor.SetFaults(faults)
	<-s.config.Clock.After(duration)
	executor.SetFaults(baseFaults())
}

// lateCallFaults draws the shares of late calls.
func (s *soakRun) lateCallFaults() executorserver.Faults {
	faults := baseFaults()
	faults.LateStarts = 0.6 * s.executorRandom.Float64()
	faults.LateStops = 0.6 * s.executorRandom.Float64()
	faults.LateHolds = 0.4 * s.executorRandom.Float64()
	faults.MinDelay = minLateDelay
	faults.MaxDelay = maxLateDelay
	return faults
}
