package main

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/proof/harness"
)

// grow starts agents until there are so many, and waits until every entry has heard of them.
func (s *study) grow(size int) error {
	if s.cluster == nil {
		if err := s.start(size); err != nil {
			return err
		}
	}
	for worker := len(s.cluster.Agents); worker < size; worker++ {
		s.cluster.AddWorker(workerConfig(worker))
	}
	for _, agent := range s.cluster.Agents {
		if err := s.meter.add(agent.Process, kindPeer); err != nil {
			return err
		}
	}
	for _, worker := range s.cluster.Workers[len(s.workers):] {
		s.workers = append(s.workers, logservice.NewWorker(logservice.WorkerConfig{
			Address: worker.Address,
		}))
		// The worker is part of the platform; only its port is of interest.
		if err := s.meter.port(worker.Address, kindLocal); err != nil {
			return err
		}
	}
	return s.await("entries know all agents", func() (bool, error) {
		for entry := range s.cluster.Entries {
			workers, err := s.admin(entry).Workers(s.Context())
			if err != nil || len(workers) < size {
				return false, err
			}
		}
		err := s.findPlacer()
		return s.placer != "", err
	})
}

// start starts the log, the entries and the first agents, and publishes the document.
func (s *study) start(size int) error {
	config := harness.ClusterConfig{
		Entries: entryCount,
	}
	for worker := range size {
		config.Workers = append(config.Workers, workerConfig(worker))
	}
	s.cluster = harness.New(s.Program, harness.Config{
		Clock:    s.clock,
		Binaries: s.bin,
	}).StartCluster(config)
	if err := s.meter.add(s.cluster.Log.Process, kindLog); err != nil {
		return err
	}
	for _, entry := range s.cluster.Entries {
		if err := s.meter.add(entry.Process, kindPeer, kindCallers, kindCallers); err != nil {
			return err
		}
		entry.AwaitReady(readyLimit)
	}
	return s.publish(s.admin(0), documentText(smallDocument, 0))
}

// workerConfig puts all workers into one zone, so that a gang may use any of them, three to a rack.
func workerConfig(worker int) harness.WorkerConfig {
	const perRack = 3
	return harness.WorkerConfig{
		ID:   fmt.Sprintf("w%d", worker+1),
		Zone: zone,
		Rack: fmt.Sprintf("rack-%d", worker/perRack+1),
	}
}

// findPlacer reads the current claim from the log.
func (s *study) findPlacer() error {
	const pageRecords = 1000
	fold := ledger.New()
	for {
		page, err := s.cluster.Log.Client.Read(s.Context(), jobStream, fold.Next(), pageRecords, 0)
		if err != nil {
			return fmt.Errorf("read claim: %w", err)
		}
		for _, record := range page.Records {
			batch := &peerpb.Batch{}
			if err = proto.Unmarshal(record.Data, batch); err != nil {
				return fmt.Errorf("decode batch: %w", err)
			}
			fold.Apply(record.Offset, batch)
		}
		if len(page.Records) == 0 || fold.Next() >= page.Next {
			_, claim := fold.Claim()
			// Each start of an entry adds a suffix to the id of its settings.
			s.placer, _, _ = strings.Cut(claim.GetPlacer(), ".")
			return nil
		}
	}
}
