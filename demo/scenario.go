package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/proof/harness"
)

const (
	// effectLimit is the stated bound for a document and for a zone that is taken out of service.
	effectLimit = 5 * time.Second
	jobLimit    = 15 * time.Second
	readyLimit  = 10 * time.Second
	workerCount = 4
	entryCount  = 3
	poll        = 50 * time.Millisecond
	// callerToken has the hash in the document below.
	callerToken = "demo-caller"
)

// text is the published document; the hash is that of callerToken.
const text = `[service]
name = quote-desk

[zone "port-louis"]
state = in
drain = checkpoint

[zone "curepipe"]
state = in
drain = checkpoint

[zone "grand-baie"]
state = in
drain = checkpoint

[workspace "weddings"]
share = 40
guarantee = 1x4@worker
reclaim = 10s
token = %s
`

// step is one line of the table.
type step struct {
	name    string
	outcome string
	took    time.Duration
	problem string
}

func (s step) verdict() string {
	if s.problem == "" {
		return "ok"
	}
	return s.problem
}

// scenario is the demo's deployment and what came of each step.
type scenario struct {
	*harness.Program
	clock   clockwork.Clock
	bin     string
	steps   []step
	harness *harness.Harness
	cluster *harness.Cluster
}

func newScenario(ctx context.Context, clock clockwork.Clock, bin string) *scenario {
	return &scenario{
		Program: harness.NewProgram(ctx, "demo"),
		clock:   clock,
		bin:     bin,
	}
}

// play runs all steps.
func (s *scenario) play() error {
	s.start()
	s.record("publish the document", "in effect", func() string { return s.publish(func(t string) string { return t }) })
	s.record("small quote", "done, answer 42", s.quote)
	s.record("gang job, 2 members of 4 accelerators", `done, answer ["g","g"]`, s.gang)
	s.record("job that can never run", "refused", s.never)
	s.record("take curepipe out of service", "in effect", func() string { return s.publish(s.zone("curepipe", false)) })
	s.record("12 quotes without curepipe", "12 done, 0 in curepipe", s.quotesOut)
	s.record("return curepipe to service", "in effect", func() string { return s.publish(s.zone("curepipe", true)) })
	s.record("quotes with curepipe", "done, curepipe used", s.quotesIn)
	return nil
}

// record runs a step and compares its outcome.
func (s *scenario) record(name, expected string, run func() string) {
	begin := s.clock.Now()
	outcome := run()
	done := step{
		name:    name,
		outcome: outcome,
		took:    s.clock.Since(begin).Round(time.Millisecond),
	}
	if outcome != expected {
		done.problem = "expected " + expected
	}
	s.steps = append(s.steps, done)
}

// start starts the stand-ins, the entries and the agents.
func (s *scenario) start() {
	s.harness = harness.New(s.Program, harness.Config{
		Clock:    s.clock,
		Binaries: s.bin,
	})
	zones := []string{"port-louis", "curepipe", "grand-baie"}
	config := harness.ClusterConfig{
		Entries: entryCount,
	}
	for worker := range workerCount {
		zone := zones[worker%len(zones)]
		config.Workers = append(config.Workers, harness.WorkerConfig{
			ID:   fmt.Sprintf("w%d", worker+1),
			Zone: zone,
			Rack: zone + "-rack-1",
		})
	}
	s.cluster = s.harness.StartCluster(config)
	for _, entry := range s.cluster.Entries {
		entry.AwaitReady(readyLimit)
	}
}

// publish edits the current document, publishes it and waits until it is in effect everywhere.
func (s *scenario) publish(edit func(string) string) string {
	admin := operator.NewClient(operator.ClientConfig{
		Address: s.cluster.Entries[0].Admin,
		Token:   harness.OperatorToken,
	})
	current, err := admin.Document(s.Context())
	if err != nil {
		return err.Error()
	}
	if current.Text == "" {
		current.Text = fmt.Sprintf(text, document.HashToken(callerToken))
	}
	result, err := admin.Publish(s.Context(), operator.PublishRequest{
		Base: current.Revision,
		Text: edit(current.Text),
	})
	if err != nil {
		return err.Error()
	}
	deadline := s.clock.Now().Add(effectLimit)
	for s.clock.Now().Before(deadline) {
		status, statusErr := admin.Status(s.Context(), result.Revision)
		if statusErr == nil && status.Effect {
			return "in effect"
		}
		s.clock.Sleep(poll)
	}
	return "not in effect within " + effectLimit.String()
}

// zone returns an edit that sets an availability zone's state.
func (s *scenario) zone(name string, in bool) func(string) string {
	return func(current string) string {
		edited, err := document.SetZone(current, name, in)
		if err != nil {
			s.Fatalf("edit document: %v", err)
		}
		return edited
	}
}

func (s *scenario) submit(entry int, job callerclient.Submission) callerclient.Job {
	client := callerclient.New(callerclient.Config{
		Address: s.cluster.Entries[entry%entryCount].Caller,
		Token:   callerToken,
	})
	result, err := client.Submit(s.Context(), job, jobLimit)
	if err != nil {
		return callerclient.Job{
			State: err.Error(),
		}
	}
	return result
}

func (s *scenario) quote() string {
	job := s.submit(0, callerclient.Submission{
		ID:      "quote",
		Payload: json.RawMessage(`{"work":"20ms","answer":"42"}`),
	})
	return fmt.Sprintf("%s, answer %s", job.State, job.Answer)
}

func (s *scenario) gang() string {
	job := s.submit(1, callerclient.Submission{
		ID:             "gang",
		Checkpointable: true,
		Members:        2,
		Accelerators:   4,
		Scope:          "zone",
		Payload:        json.RawMessage(`{"work":"500ms","answer":"g"}`),
	})
	return fmt.Sprintf("%s, answer %s", job.State, job.Answer)
}

func (s *scenario) never() string {
	return s.submit(2, callerclient.Submission{
		ID:           "never",
		Idempotent:   true,
		Members:      64,
		Accelerators: 8,
		Scope:        "rack",
		Payload:      json.RawMessage(`{"work":"1s"}`),
	}).State
}

// quotes submits quotes through all entries and returns how many are done.
func (s *scenario) quotes(prefix string, count int) int {
	done := 0
	for quote := range count {
		job := s.submit(quote, callerclient.Submission{
			ID:         fmt.Sprintf("%s-%d", prefix, quote),
			Idempotent: true,
			Payload:    json.RawMessage(`{"work":"20ms","answer":"42"}`),
		})
		if job.State == callerclient.StateDone {
			done++
		}
	}
	return done
}

// startsIn counts the runs of jobs with a prefix in a zone, by the workers' records.
func (s *scenario) startsIn(zone, prefix string) int {
	count := 0
	for _, event := range s.harness.Events() {
		if event.Zone == zone && strings.HasPrefix(event.Job, prefix) {
			count++
		}
	}
	return count
}

func (s *scenario) quotesOut() string {
	const count = 12
	done := s.quotes("out", count)
	return fmt.Sprintf("%d done, %d in curepipe", done, s.startsIn("curepipe", "out-"))
}

func (s *scenario) quotesIn() string {
	deadline := s.clock.Now().Add(readyLimit)
	for round := 0; s.clock.Now().Before(deadline); round++ {
		prefix := fmt.Sprintf("in-%d", round)
		if s.quotes(prefix, entryCount) != entryCount {
			return "not done"
		}
		if s.startsIn("curepipe", "in-") > 0 {
			return "done, curepipe used"
		}
	}
	return "curepipe not used"
}
