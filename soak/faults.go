package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"radishpath.example/radishpath/standin/storeserver"
)

// fault injects one fault. It lasts on its own, so that faults overlap.
func (s *soak) fault(ctx context.Context) {
	s.faults++
	lasts := time.Duration(300+s.random.IntN(3200)) * time.Millisecond
	victim := s.entries[s.random.IntN(len(s.entries))]
	if s.random.IntN(3) == 0 {
		victim = s.agents[s.random.IntN(len(s.agents))]
	}
	kind := s.random.IntN(8)
	door := storeserver.Fault(1 + s.random.IntN(4))
	s.logf("%s: fault %d for %s, door %d", victim.name, kind, lasts, door)
	switch kind {
	case 0, 1:
		s.callers.wait.Go(func() { s.restart(ctx, victim, syscall.SIGKILL, lasts) })
	case 2:
		s.callers.wait.Go(func() { s.restart(ctx, victim, syscall.SIGTERM, lasts) })
	case 3:
		s.callers.wait.Go(func() { s.pause(victim, lasts) })
	case 4, 5:
		s.callers.wait.Go(func() { s.misbehave([]*process{victim}, door, lasts) })
	case 6:
		s.callers.wait.Go(func() { s.misbehave(append(s.entries, s.agents...), door, lasts) })
	case 7:
		s.store.Forget("keyed.cell")
		s.store.Forget("keyed.op")
	}
}

func (s *soak) logf(format string, args ...any) {
	if s.config.Output != nil {
		_, _ = fmt.Fprintf(s.config.Output, format+"\n", args...)
	}
}

func (s *soak) misbehave(victims []*process, fault storeserver.Fault, lasts time.Duration) {
	for _, victim := range victims {
		victim.door.Set(fault, 0)
	}
	<-s.config.Clock.After(lasts)
	for _, victim := range victims {
		victim.door.Set(storeserver.FaultNone, 0)
	}
}

func (s *soak) pause(victim *process, lasts time.Duration) {
	victim.signal(syscall.SIGSTOP)
	<-s.config.Clock.After(lasts)
	victim.signal(syscall.SIGCONT)
}

// restart ends a process and starts it again. One that is paused meanwhile is continued first, or it would never end.
func (s *soak) restart(ctx context.Context, victim *process, signal syscall.Signal, lasts time.Duration) {
	victim.restart.Lock()
	defer victim.restart.Unlock()
	victim.signal(syscall.SIGCONT)
	victim.end(signal)
	<-s.config.Clock.After(lasts)
	if err := victim.start(ctx); err != nil {
		s.logf("%v", err)
	}
}
