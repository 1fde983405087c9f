package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/storeserver"
)

// The soak draws store faults from 1 (storeserver.FaultUnavailable) to storeFaultKinds and proxy faults from 1
// (cluster.FaultDelay) to proxyFaultKinds.
const (
	storeFaultKinds = 4
	proxyFaultKinds = 5
)

// injectFault injects one random fault. The fault ends in the background, so that faults overlap. Every parameter is
// drawn even if the kind of fault doesn't use it.
func (s *soakRun) injectFault(ctx context.Context) {
	s.faultCount++
	duration := time.Duration(300+s.random.IntN(3200)) * time.Millisecond
	entry := s.cluster.Entries[s.random.IntN(len(s.cluster.Entries))]
	process := entry
	if s.random.IntN(3) == 0 {
		process = s.cluster.Agents[s.random.IntN(len(s.cluster.Agents))]
	}
	storeFault := storeserver.Fault(1 + s.random.IntN(storeFaultKinds))
	proxy := s.cluster.Proxies[s.random.IntN(len(s.cluster.Proxies))]
	proxyFault := cluster.Fault(1 + s.random.IntN(proxyFaultKinds))
	executor := s.cluster.Executors[s.random.IntN(len(s.cluster.Executors))]
	kind := s.random.IntN(12)
	s.logf("%s: fault kind %d for %s, store fault %d, proxy fault %d", process.Name, kind, duration, storeFault,
		proxyFault)
	switch kind {
	case 0, 1:
		s.background.Go(func() { s.restartProcess(ctx, process, syscall.SIGKILL, duration) })
	case 2:
		s.background.Go(func() { s.restartProcess(ctx, process, syscall.SIGTERM, duration) })
	case 3:
		s.background.Go(func() { process.Pause(duration) })
	case 4, 5:
		s.background.Go(func() { s.injectStoreFault([]*cluster.Process{entry}, storeFault, duration) })
	case 6:
		s.background.Go(func() { s.injectStoreFault(s.cluster.Entries, storeFault, duration) })
	case 7:
		s.cluster.Store.CompactAll()
	case 8, 9:
		s.background.Go(func() {
			proxy.SetFault(proxyFault)
			<-s.config.Clock.After(duration)
			proxy.SetFault(cluster.FaultNone)
		})
	case 10:
		executor.SetDraining(true)
		s.background.Go(func() {
			<-s.config.Clock.After(duration)
			executor.Restart()
			executor.SetDraining(false)
		})
	case 11:
		s.publishDocument()
	}
}

func (s *soakRun) logf(format string, args ...any) {
	if s.config.Output != nil {
		_, _ = fmt.Fprintf(s.config.Output, format+"\n", args...)
	}
}

// injectStoreFault injects a fault into the store connections of the given entries for a duration.
func (s *soakRun) injectStoreFault(entries []*cluster.Process, fault storeserver.Fault, duration time.Duration) {
	for _, entry := range entries {
		entry.Endpoint.SetFault(fault, 0)
	}
	<-s.config.Clock.After(duration)
	for _, entry := range entries {
		entry.Endpoint.SetFault(storeserver.FaultNone, 0)
	}
}

// publishDocument publishes the document under the next revision.
func (s *soakRun) publishDocument() {
	s.revision++
	if err := s.cluster.Publish(s.revision, cluster.DocumentText(cluster.DocumentConfig{})); err != nil {
		s.logf("%v", err)
	}
}

// restartProcess terminates a process with a signal and starts it again after the downtime.
func (s *soakRun) restartProcess(
	ctx context.Context, process *cluster.Process, signal syscall.Signal, downtime time.Duration,
) {
	if err := process.Restart(ctx, signal, downtime); err != nil {
		s.logf("%v", err)
	}
}
