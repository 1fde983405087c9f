package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/proof/harness"
)

// few is the stated bound for "a few seconds" and "within seconds".
const few = 5 * time.Second

// workspaces are the tenants of every suite; a token is the name with "-token".
var workspaces = []string{"weddings", "banquets"} //nolint:gochecknoglobals // a constant list.

// zones are those of the Mauritius deployment.
var zones = []string{"port-louis", "curepipe", "grand-baie"} //nolint:gochecknoglobals // a constant list.

func TestMain(m *testing.M) {
	os.Exit(harness.Run(m))
}

// suite is a running deployment with a published document.
type suite struct {
	t       *testing.T
	clock   clockwork.Clock
	harness *harness.Harness
	cluster *harness.Cluster
}

// newSuite starts three entries in three zones and the workers, and publishes the document.
func newSuite(t *testing.T, workers int, config harness.ClusterConfig) *suite {
	t.Helper()
	clock := clockwork.NewRealClock()
	s := &suite{
		t:     t,
		clock: clock,
		harness: harness.New(t, harness.Config{
			Clock: clock,
		}),
	}
	config.Entries = 3
	for worker := range workers {
		zone := zones[worker%len(zones)]
		config.Workers = append(config.Workers, harness.WorkerConfig{
			ID:   fmt.Sprintf("w%d", worker+1),
			Zone: zone,
			Rack: zone + "-r1",
		})
	}
	s.cluster = s.harness.StartCluster(config)
	for _, entry := range s.cluster.Entries {
		entry.AwaitReady(10 * time.Second)
	}
	s.publish(0, document(nil, "1x4@worker", ""))
	return s
}

// document returns a text with the named zones out of service and a guarantee per workspace.
func document(out []string, guarantees ...string) string {
	var text strings.Builder
	text.WriteString("[service]\nname = quote-desk\n\n")
	for _, zone := range zones {
		state := "in"
		for _, name := range out {
			if name == zone {
				state = "out"
			}
		}
		fmt.Fprintf(&text, "[zone %q]\nstate = %s\ndrain = checkpoint\n\n", zone, state)
	}
	for i, name := range workspaces {
		hash := sha256.Sum256([]byte(name + "-token"))
		fmt.Fprintf(&text, "[workspace %q]\nshare = 50\nreclaim = 3s\ntoken = sha256:%s\n", name,
			hex.EncodeToString(hash[:]))
		if i < len(guarantees) && guarantees[i] != "" {
			fmt.Fprintf(&text, "guarantee = %s\n", guarantees[i])
		}
		text.WriteString("\n")
	}
	return text.String()
}

// admin returns the client of an entry's administration API.
func (s *suite) admin(entry int) *operator.Client {
	return operator.NewClient(operator.ClientConfig{
		Address: s.cluster.Entries[entry].Admin,
		Token:   harness.OperatorToken,
	})
}

// caller returns a caller of a workspace that talks to one entry.
func (s *suite) caller(entry int, workspace string) *callerclient.Client {
	return callerclient.New(callerclient.Config{
		Address: s.cluster.Entries[entry].Caller,
		Token:   workspace + "-token",
	})
}

// publish publishes through an entry and waits until the document is in effect everywhere.
func (s *suite) publish(entry int, text string) {
	s.t.Helper()
	revision, _ := s.accept(entry, text)
	s.await(2*few, func() bool {
		status, err := s.admin(entry).Status(s.t.Context(), revision)
		return err == nil && status.Effect
	}, "document in effect")
}

// await waits until a condition holds.
func (s *suite) await(limit time.Duration, holds func() bool, what string) {
	s.t.Helper()
	deadline := s.clock.Now().Add(limit)
	for !holds() {
		if s.clock.Now().After(deadline) {
			require.FailNow(s.t, "timed out after "+limit.String(), what)
		}
		s.clock.Sleep(20 * time.Millisecond)
	}
}

// submit submits through an entry and waits for the end.
func (s *suite) submit(entry int, workspace string, job callerclient.Submission, wait time.Duration) callerclient.Job {
	s.t.Helper()
	result, err := s.caller(entry, workspace).Submit(s.t.Context(), job, wait)
	require.NoError(s.t, err)
	return result
}

// awaitEnd asks an entry until the job has ended.
func (s *suite) awaitEnd(entry int, workspace, id string, limit time.Duration) callerclient.Job {
	s.t.Helper()
	var job callerclient.Job
	s.await(limit, func() bool {
		ctx, cancel := context.WithTimeout(s.t.Context(), few)
		defer cancel()
		found, err := s.caller(entry, workspace).Status(ctx, id, time.Second)
		job = found
		return err == nil && found.Ended()
	}, "end of "+id)
	return job
}

// awaitState asks an entry until the job has a state.
func (s *suite) awaitState(entry int, workspace, id, state string, limit time.Duration) {
	s.t.Helper()
	s.await(limit, func() bool {
		found, err := s.caller(entry, workspace).Status(s.t.Context(), id, 0)
		return err == nil && found.State == state
	}, id+" is "+state)
}

// work returns a payload that takes a time and gives an answer.
func work(d time.Duration, answer string) json.RawMessage {
	payload, err := json.Marshal(struct {
		Work   string `json:"work"`
		Answer string `json:"answer"`
	}{
		Work:   d.String(),
		Answer: answer,
	})
	if err != nil {
		panic(err)
	}
	return payload
}
