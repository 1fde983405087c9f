package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/proof/harness"
)

const (
	zone       = "curepipe"
	entryCount = 3
	readyLimit = 15 * time.Second
	poll       = 50 * time.Millisecond
	// settleTime lets started processes finish their first exchange of full announcements and their first collections.
	settleTime = 2 * time.Second
)

// study is one deployment that grows, and what was measured on it.
type study struct {
	*harness.Program
	clock   clockwork.Clock
	bin     string
	window  time.Duration
	series  []*series
	cluster *harness.Cluster
	meter   *meter
	// workers are the clients of the workers; a new client for each call would use up the workers' connections.
	workers []*logservice.Worker
	// placer is the id of the entry that places.
	placer string
	// last is the usage per process of the last measurement.
	last map[string]usage
}

func newStudy(p *harness.Program, clock clockwork.Clock, bin string, window time.Duration) *study {
	return &study{
		Program: p,
		clock:   clock,
		bin:     bin,
		window:  window,
		meter:   newMeter(clock),
	}
}

// play grows the deployment and measures.
func (s *study) play(sizes []int) error {
	if err := s.sizes(sizes); err != nil {
		return err
	}
	largest := sizes[len(sizes)-1]
	for _, part := range []struct {
		name string
		run  func() error
	}{
		{
			name: "gangs",
			run:  func() error { return s.gangs(largest) },
		},
		{
			name: "requests",
			run:  s.requests,
		},
		{
			name: "publishes",
			run:  s.publishes,
		},
	} {
		if err := part.run(); err != nil {
			return fmt.Errorf("measure %s: %w", part.name, err)
		}
	}
	return nil
}

// sizes measures the idle deployment at each size.
func (s *study) sizes(sizes []int) error {
	table := s.table("Idle deployment", "agent")
	for _, size := range sizes {
		begun := s.clock.Now()
		if err := s.grow(size); err != nil {
			return err
		}
		s.Logf("%d agents after %s", size, s.clock.Since(begun).Round(time.Millisecond))
		if err := s.sleep(settleTime); err != nil {
			return err
		}
		roles, err := s.measure(nil)
		if err != nil {
			return err
		}
		table.addUsage(float64(size), roles)
	}
	return nil
}

// table adds a table.
func (s *study) table(title, unit string) *series {
	t := &series{
		title: title,
		unit:  unit,
	}
	s.series = append(s.series, t)
	return t
}

// measure returns the usage per role over a window. Agents count for the role in parts, else as agents.
func (s *study) measure(parts map[string]role) (map[role]usage, error) {
	from, err := s.meter.read()
	if err != nil {
		return nil, err
	}
	if err = s.sleep(s.window); err != nil {
		return nil, err
	}
	to, err := s.meter.read()
	if err != nil {
		return nil, err
	}
	all := map[role][]usage{}
	s.last = map[string]usage{}
	for name := range s.meter.processes {
		part, ok := parts[name]
		if !ok {
			part = s.role(name)
		}
		s.last[name] = s.meter.usage(name, from, to)
		all[part] = append(all[part], s.last[name])
	}
	roles := map[role]usage{}
	for part, usages := range all {
		roles[part] = mean(usages)
	}
	return roles, nil
}

func (s *study) role(name string) role {
	if name == s.cluster.Log.Name {
		return roleLog
	}
	if name == s.placer {
		return rolePlacer
	}
	for _, entry := range s.cluster.Entries {
		if name == entry.Name {
			return roleEntry
		}
	}
	return roleAgent
}

// sleep waits, or says that the time is over.
func (s *study) sleep(d time.Duration) error {
	select {
	case <-s.Context().Done():
		return fmt.Errorf("out of time: %w", context.Cause(s.Context()))
	case <-s.clock.After(d):
		return nil
	}
}

// await polls a condition.
func (s *study) await(what string, condition func() (bool, error)) error {
	deadline := s.clock.Now().Add(readyLimit)
	var last error
	for s.clock.Now().Before(deadline) {
		ok, err := condition()
		if ok {
			return nil
		}
		last = err
		if err = s.sleep(poll); err != nil {
			return err
		}
	}
	if last != nil {
		return fmt.Errorf("%s: not within %s: %w", what, readyLimit, last)
	}
	return fmt.Errorf("%s: not within %s", what, readyLimit)
}

func (s *study) admin(entry int) *operator.Client {
	return operator.NewClient(operator.ClientConfig{
		Address: s.cluster.Entries[entry].Admin,
		Token:   harness.OperatorToken,
	})
}

// nonPlacer returns the index of an entry that is not the placer.
func (s *study) nonPlacer() int {
	for i, entry := range s.cluster.Entries {
		if entry.Name != s.placer {
			return i
		}
	}
	return 0
}
