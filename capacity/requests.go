package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	jobStream = "jobs"
	// requestWait is longer than a request takes, even on a busy machine.
	requestWait = 10 * time.Second
	// callerLimit bounds the requests that are in flight at the same time.
	callerLimit = 256
)

// load is what callers saw.
type load struct {
	done   atomic.Int64
	failed atomic.Int64
	nanos  atomic.Int64
}

// requests measures requests through the entry that is not the placer, at rising rates.
func (s *study) requests() error {
	appends := s.table("Log stand-in under requests", "append/s")
	for _, kind := range []struct {
		name       string
		idempotent bool
		rates      []int
	}{
		{
			name:       "Idempotent requests through one entry",
			idempotent: true,
			rates:      []int{25, 100, 400},
		},
		{
			name:  "Non-idempotent requests through one entry",
			rates: []int{25, 100, 400},
		},
	} {
		table := s.table(kind.name, "request/s")
		for _, rate := range kind.rates {
			if err := s.rate(table, appends, rate, kind.idempotent); err != nil {
				return err
			}
		}
	}
	return nil
}

// rate offers requests at a rate and adds what they cost at the rate that was reached.
func (s *study) rate(table, appends *series, rate int, idempotent bool) error {
	entry := s.nonPlacer()
	before, err := s.logEnd()
	if err != nil {
		return err
	}
	begun := s.clock.Now()
	stop := make(chan struct{})
	seen := &load{}
	var callers sync.WaitGroup
	callers.Go(func() { s.offer(entry, rate, idempotent, seen, stop) })
	roles, measureErr := s.measure(nil)
	done := float64(seen.done.Load())
	seconds := s.clock.Since(begun).Seconds()
	close(stop)
	callers.Wait()
	if measureErr != nil {
		return measureErr
	}
	batches, records, err := s.records(before)
	if err != nil {
		return err
	}
	reached := done / seconds
	all := max(float64(seen.done.Load()), 1)
	// The other entry that is not the placer only reads the log.
	roles[roleEntry] = s.last[s.cluster.Entries[entry].Name]
	table.addUsage(reached, roles)
	table.add(reached, "caller", "offered, request/s", float64(rate))
	table.add(reached, "caller", "failed", float64(seen.failed.Load()))
	table.add(reached, "caller", "mean time, ms", float64(seen.nanos.Load())/all/float64(time.Millisecond))
	table.add(reached, "log", "records per request", float64(records)/all)
	table.add(reached, "log", "appends per request", float64(batches)/all)
	perSecond := float64(batches) / seconds
	appends.addUsage(perSecond, map[role]usage{
		roleLog: roles[roleLog],
	})
	// A call to the log is one segment with data, a read if it is no append.
	appends.add(perSecond, string(roleLog), "reads, 1/s", roles[roleLog].segments-perSecond)
	return nil
}

// offer starts requests at a rate until stop, and waits for their ends.
func (s *study) offer(entry, rate int, idempotent bool, seen *load, stop <-chan struct{}) {
	client := s.client(entry)
	slots := make(chan struct{}, callerLimit)
	var calls sync.WaitGroup
	defer calls.Wait()
	prefix := fmt.Sprintf("request-%t-%d", idempotent, rate)
	begun := s.clock.Now()
	for request := 0; ; request++ {
		due := begun.Add(time.Duration(request) * time.Second / time.Duration(rate))
		select {
		case <-stop:
			return
		case <-s.clock.After(s.clock.Until(due)):
		}
		select {
		case <-stop:
			return
		case slots <- struct{}{}:
		}
		calls.Go(func() {
			defer func() { <-slots }()
			sent := s.clock.Now()
			job, err := client.Submit(s.Context(), callerclient.Submission{
				ID:         fmt.Sprintf("%s-%d", prefix, request),
				Idempotent: idempotent,
				Payload:    json.RawMessage(`{"work":"1ms","answer":"42"}`),
			}, requestWait)
			if err != nil || job.State != callerclient.StateDone {
				seen.failed.Add(1)
				return
			}
			seen.done.Add(1)
			seen.nanos.Add(int64(s.clock.Since(sent)))
		})
	}
}

// logEnd returns the offset after the last record of the job stream.
func (s *study) logEnd() (int64, error) {
	page, err := s.cluster.Log.Client.Read(s.Context(), jobStream, 0, 1, 0)
	if err != nil {
		return 0, fmt.Errorf("read job stream: %w", err)
	}
	return page.Next, nil
}

// records counts the appends and the records in them from an offset on.
func (s *study) records(from int64) (batches, records int, err error) {
	const pageRecords = 1000
	for {
		page, readErr := s.cluster.Log.Client.Read(s.Context(), jobStream, from, pageRecords, 0)
		if readErr != nil {
			return 0, 0, fmt.Errorf("read job stream: %w", readErr)
		}
		for _, record := range page.Records {
			batch := &peerpb.Batch{}
			if err = proto.Unmarshal(record.Data, batch); err != nil {
				return 0, 0, fmt.Errorf("decode batch: %w", err)
			}
			batches++
			records += len(batch.GetRecords())
			from = record.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return batches, records, nil
		}
	}
}
