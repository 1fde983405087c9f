package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/standin/cluster"
)

const (
	// jobTimeout is how long a submission waits for the end of its job.
	jobTimeout = 15 * time.Second
	// stepTimeout limits the steps that poll until the deployment reaches a state.
	stepTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
	entryCount   = 3
	agentCount   = 4
	// capacityDelay is the time after startup until the scheduler knows the capacity of all executors. Entries reject
	// jobs that fit no executor only from then on.
	capacityDelay = 12 * time.Second
	// drainedZone is the zone that is taken out of service and returned to it.
	drainedZone = "curepipe"
)

// step is the outcome of one step of the scenario, printed as one row of the table.
type step struct {
	name     string
	outcome  string
	duration time.Duration
	// mismatch names the expected outcome if it differs from the actual one; otherwise it is empty.
	mismatch string
}

func (s step) result() string {
	if s.mismatch == "" {
		return "ok"
	}
	return s.mismatch
}

// scenario holds the demo's deployment and the outcomes of its steps.
type scenario struct {
	clock   clockwork.Clock
	bin     string
	cluster *cluster.Cluster
	// started is the time at which all processes had been started.
	started time.Time
	steps   []step
}

func newScenario(ctx context.Context, clock clockwork.Clock, bin string) (*scenario, error) {
	started, err := cluster.Start(ctx, cluster.Config{
		BinaryPath: bin,
		Clock:      clock,
		Entries:    entryCount,
		Agents:     agentCount,
		Zones:      []string{"port-louis", drainedZone, "grand-baie"},
	})
	if err != nil {
		return nil, fmt.Errorf("start cluster: %w", err)
	}
	return &scenario{
		clock:   clock,
		bin:     bin,
		cluster: started,
		started: clock.Now(),
	}, nil
}

// runSteps runs all steps in order.
func (s *scenario) runSteps(ctx context.Context) {
	s.runStep("publish the document", "revision 1 is in effect everywhere",
		func() string { return s.publishDocument(ctx) })
	s.runStep("entries are ready", "3 ready", func() string { return s.awaitReady(ctx) })
	s.runStep("small quote", "done", func() string { return s.submit(ctx, 0, newQuote("20ms")) })
	s.runStep("gang job, 2 members of 4 accelerators", "done",
		func() string { return s.submit(ctx, 1, newGangJob()) })
	s.runStep("job whose task fails", "failed", func() string { return s.submit(ctx, 2, newQuote("fail 20ms")) })
	s.runStep("cancelled job", "cancelled", func() string { return s.submitAndCancel(ctx) })
	s.runStep("take "+drainedZone+" out of service", "revision 2 is in effect everywhere",
		func() string { return s.command(ctx, "drain", drainedZone) })
	s.runStep("12 quotes without "+drainedZone, "12 done, 0 in "+drainedZone,
		func() string { return s.submitWithoutZone(ctx) })
	s.runStep("return "+drainedZone+" to service", "revision 3 is in effect everywhere",
		func() string { return s.command(ctx, "undrain", drainedZone) })
	s.runStep("quotes with "+drainedZone, "done, zone used", func() string { return s.submitUntilZoneUsed(ctx) })
	s.runStep("job that fits no executor", "not run", func() string { return s.submitOversized(ctx) })
	s.runStep("quotes while an entry is killed", "6 done", func() string { return s.submitDuringEntryKill(ctx) })
}

// runStep runs a step and compares its outcome with the expected one.
func (s *scenario) runStep(name, expected string, run func() string) {
	start := s.clock.Now()
	outcome := run()
	finished := step{
		name:     name,
		outcome:  outcome,
		duration: s.clock.Since(start).Round(time.Millisecond),
	}
	if outcome != expected {
		finished.mismatch = "expected " + expected
	}
	s.steps = append(s.steps, finished)
}

func newQuote(spec string) callerclient.Submission {
	return callerclient.Submission{
		ID:           caller.NewID(),
		Queue:        "urgent",
		Accelerators: 1,
		Payload:      encodeSpec(spec),
	}
}

func newGangJob() callerclient.Submission {
	return callerclient.Submission{
		ID:             caller.NewID(),
		Queue:          "quotes",
		Members:        2,
		Accelerators:   4,
		Checkpointable: true,
		Payload:        encodeSpec("gpu 4 gang 2 save 500ms"),
	}
}

// encodeSpec encodes a task specification of the simulated executors as a job payload.
func encodeSpec(spec string) json.RawMessage {
	payload, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	return payload
}

// command runs a radishpath command against the store, as an operator does, and returns its output.
func (s *scenario) command(ctx context.Context, args ...string) string {
	command := exec.CommandContext(ctx, s.bin, append(args, "--store", s.cluster.StoreAddress)...)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s: %v", strings.TrimSpace(string(output)), err)
	}
	return strings.TrimSpace(string(output))
}

func (s *scenario) publishDocument(ctx context.Context) string {
	path := filepath.Join(s.cluster.Directory(), "document.ini")
	text := cluster.DocumentText(cluster.DocumentConfig{Guarantee: 8})
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err.Error()
	}
	// The publish command waits only for the entries that have registered in the store.
	deadline := s.clock.Now().Add(stepTimeout)
	for s.clock.Now().Before(deadline) &&
		strings.Count(s.command(ctx, "top", "-o", "json"), "entry-") < entryCount {
		s.clock.Sleep(pollInterval)
	}
	return s.command(ctx, "publish", "--base", "0", path)
}

func (s *scenario) awaitReady(ctx context.Context) string {
	client := cluster.NewClient(s.clock)
	deadline := s.clock.Now().Add(stepTimeout)
	for {
		ready := 0
		for _, entry := range s.cluster.Entries {
			if client.IsReady(ctx, entry.ReadyAddress) {
				ready++
			}
		}
		if ready == entryCount || s.clock.Now().After(deadline) {
			return fmt.Sprintf("%d ready", ready)
		}
		s.clock.Sleep(pollInterval)
	}
}

// client returns a client of the entry with an index; indexes beyond the last entry wrap around.
func (s *scenario) client(entryIndex int) *callerclient.Client {
	return callerclient.New(callerclient.Config{
		Address: s.cluster.JobsAddresses[entryIndex%entryCount],
		Token:   cluster.APIKey,
	})
}

// submit submits a job to an entry, waits for its end and returns its final state.
func (s *scenario) submit(ctx context.Context, entryIndex int, job callerclient.Submission) string {
	result, err := s.client(entryIndex).Submit(ctx, job, jobTimeout)
	if err != nil {
		return err.Error()
	}
	return result.State
}

// submitAndCancel submits a long job to one entry and cancels it at another.
func (s *scenario) submitAndCancel(ctx context.Context) string {
	job := newQuote("10s")
	if _, err := s.client(0).Submit(ctx, job, 0); err != nil {
		return err.Error()
	}
	result, err := s.client(1).Cancel(ctx, job.ID)
	if err != nil {
		return err.Error()
	}
	return result.State
}

// submitQuotes submits quotes one after the other to each entry in turn and returns the number of those done.
func (s *scenario) submitQuotes(ctx context.Context, count int) int {
	done := 0
	for i := range count {
		if s.submit(ctx, i, newQuote("20ms")) == callerclient.StateDone {
			done++
		}
	}
	return done
}

// countStarts returns the number of tasks that the executors in a zone have started since the given time.
func (s *scenario) countStarts(zone string, since time.Time) int {
	count := 0
	for _, start := range s.cluster.Recorder.StartsSince(since) {
		if start.Zone == zone {
			count++
		}
	}
	return count
}

// submitWithoutZone submits quotes while drainedZone is out of service and counts those that started there.
func (s *scenario) submitWithoutZone(ctx context.Context) string {
	since := s.clock.Now()
	done := s.submitQuotes(ctx, 12)
	return fmt.Sprintf("%d done, %d in %s", done, s.countStarts(drainedZone, since), drainedZone)
}

// submitUntilZoneUsed submits quotes until a task starts in drainedZone after its return to service.
func (s *scenario) submitUntilZoneUsed(ctx context.Context) string {
	since := s.clock.Now()
	// These jobs need a whole executor each. Once they fill the other zones, only drainedZone has room.
	for range agentCount - 1 {
		filler := newQuote("gpu 8 3s")
		filler.Accelerators = 8
		if _, err := s.client(0).Submit(ctx, filler, 0); err != nil {
			return err.Error()
		}
	}
	deadline := s.clock.Now().Add(stepTimeout)
	for s.clock.Now().Before(deadline) {
		if s.submitQuotes(ctx, 1) != 1 {
			return "quote not done"
		}
		if s.countStarts(drainedZone, since) > 0 {
			return "done, zone used"
		}
	}
	return "zone not used"
}

// submitOversized submits a job that is larger than any executor, once the scheduler knows the capacity of all of them.
func (s *scenario) submitOversized(ctx context.Context) string {
	s.clock.Sleep(s.started.Add(capacityDelay).Sub(s.clock.Now()))
	job := newQuote("20ms")
	job.Accelerators = 9
	result, err := s.client(2).Submit(ctx, job, 0)
	var callErr *callerclient.Error
	if errors.As(err, &callErr) && callErr.Code == http.StatusServiceUnavailable {
		return "not run"
	}
	if err != nil {
		return err.Error()
	}
	return result.State
}

// submitDuringEntryKill kills and restarts the first entry while it submits quotes to the other entries.
func (s *scenario) submitDuringEntryKill(ctx context.Context) string {
	restarted := make(chan error, 1)
	go func() { restarted <- s.cluster.Entries[0].Restart(ctx, syscall.SIGKILL, time.Second) }()
	done := 0
	for i := range 6 {
		if s.submit(ctx, 1+i%(entryCount-1), newQuote("20ms")) == callerclient.StateDone {
			done++
		}
	}
	if err := <-restarted; err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d done", done)
}
