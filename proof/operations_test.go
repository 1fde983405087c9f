package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/workerserver"
)

const (
	// gangLimit is the stated bound for a gang that runs with only part of its members.
	gangLimit = 4500 * time.Millisecond
	// requestStreams and gangStreams are callers that submit one job after the other. The gangs ask for twice the
	// accelerators that three workers have, so every zone in service is in use.
	requestStreams = 6
	gangStreams    = 6
	// requestPause keeps the callers of a test below half of the appends per second that the log accepts.
	requestPause = 30 * time.Millisecond
	// streamWait is above the 5 s after which an entry that is cut off serves its first request without records.
	streamWait = 2 * few
)

// arrivals is a continuous arrival of requests and gangs at all entries.
type arrivals struct {
	suite  *suite
	cancel context.CancelFunc
	work   sync.WaitGroup
	count  atomic.Int64
}

// startLoad starts callers whose jobs arrive until the test ends.
func (s *suite) startLoad() {
	ctx, cancel := context.WithCancel(s.t.Context())
	l := &arrivals{
		suite:  s,
		cancel: cancel,
	}
	for stream := range requestStreams {
		l.work.Go(func() {
			l.submitAll(ctx, stream, callerclient.Submission{
				Idempotent: true,
				Payload:    work(20*time.Millisecond, "r"),
			})
		})
	}
	for stream := range gangStreams {
		l.work.Go(func() {
			l.submitAll(ctx, stream, callerclient.Submission{
				Idempotent:   true,
				Members:      2,
				Accelerators: 4,
				Scope:        "zone",
				Payload:      work(300*time.Millisecond, "g"),
			})
		})
	}
	s.t.Cleanup(l.stop)
}

// stop ends the arrivals and waits for the callers.
func (l *arrivals) stop() {
	l.cancel()
	l.work.Wait()
}

// submitAll submits copies of a job through one entry, so that one that hangs does not keep work from the others.
// Errors are part of the faults under test.
func (l *arrivals) submitAll(ctx context.Context, stream int, job callerclient.Submission) {
	entry := stream % len(l.suite.cluster.Entries)
	for ctx.Err() == nil {
		job.ID = fmt.Sprintf("load-%d", l.count.Add(1))
		call, cancel := context.WithTimeout(ctx, streamWait+time.Second)
		_, _ = l.suite.caller(entry, workspaces[0]).Submit(call, job, streamWait)
		cancel()
		l.suite.clock.Sleep(requestPause)
	}
}

// accept publishes through an entry and returns the revision and when the entry had accepted it. Unlike publish it
// does not wait until the document is in effect.
func (s *suite) accept(entry int, text string) (int64, time.Time) {
	s.t.Helper()
	admin := s.admin(entry)
	current, err := admin.Document(s.t.Context())
	require.NoError(s.t, err)
	result, err := admin.Publish(s.t.Context(), operator.PublishRequest{
		Base: current.Revision,
		Text: text,
	})
	require.NoError(s.t, err)
	require.True(s.t, result.Applied, result.Reason)
	return result.Revision, s.clock.Now()
}

// awaitEvent waits until the workers' records hold a matching event.
func (s *suite) awaitEvent(limit time.Duration, matches func(workerserver.Event) bool, what string) {
	s.t.Helper()
	s.awaitEvents(limit, 1, matches, what)
}

// awaitEvents waits until the workers' records hold so many matching events.
func (s *suite) awaitEvents(limit time.Duration, count int, matches func(workerserver.Event) bool, what string) {
	s.t.Helper()
	s.await(limit, func() bool { return s.countEvents(matches) >= count }, what)
}

// countEvents counts the matching events in the workers' records.
func (s *suite) countEvents(matches func(workerserver.Event) bool) int {
	s.t.Helper()
	count := 0
	for _, event := range s.harness.Events() {
		if matches(event) {
			count++
		}
	}
	return count
}

// pass lets a stated bound pass.
func (s *suite) pass(until time.Time) {
	s.clock.Sleep(until.Sub(s.clock.Now()))
}

// placer returns the index of the entry whose claim is the last in the log.
func (s *suite) placer() int {
	s.t.Helper()
	fold := ledger.New()
	page, err := s.cluster.Log.Client.Read(s.t.Context(), "jobs", 0, 1000, 0)
	for err == nil && len(page.Records) > 0 {
		for _, record := range page.Records {
			batch := &peerpb.Batch{}
			require.NoError(s.t, proto.Unmarshal(record.Data, batch))
			fold.Apply(record.Offset, batch)
		}
		page, err = s.cluster.Log.Client.Read(s.t.Context(), "jobs", fold.Next(), 1000, 0)
	}
	require.NoError(s.t, err)
	_, claim := fold.Claim()
	for i, entry := range s.cluster.Entries {
		// An id ends in a part of its own for each run of the process.
		if strings.HasPrefix(claim.GetPlacer(), entry.Name+".") {
			return i
		}
	}
	require.FailNow(s.t, "no entry has claimed to place jobs")
	return -1
}

// terminate sends SIGTERM without waiting for the end.
func (s *suite) terminate(process *harness.Process) {
	s.t.Helper()
	require.NoError(s.t, syscall.Kill(process.PID(), syscall.SIGTERM))
}

// entryNames are the names of the entries in the network.
func (s *suite) entryNames() []string {
	names := []string{}
	for _, entry := range s.cluster.Entries {
		names = append(names, entry.Name)
	}
	return names
}

// requireComplete checks that no gang ran with part of its members for longer than the stated bound.
func (s *suite) requireComplete() {
	s.t.Helper()
	jobs, err := s.cluster.Log.Jobs(s.t.Context())
	require.NoError(s.t, err)
	require.NoError(s.t, harness.NoPartialGangs(s.harness.Events(), harness.Members(jobs), gangLimit, s.clock.Now()))
}

// isStart matches the starts in a zone after a time.
func isStart(zone string, after time.Time) func(workerserver.Event) bool {
	return func(event workerserver.Event) bool {
		return event.Event == workerserver.EventStart && event.Zone == zone && event.Time.After(after)
	}
}

// isDone matches the work of a kind that a worker started after a time and completed.
func (s *suite) isDone(kind, zone string, after time.Time) func(workerserver.Event) bool {
	started := map[string]bool{}
	return func(event workerserver.Event) bool {
		if event.Kind != kind || event.Zone != zone || !event.Time.After(after) {
			return false
		}
		if event.Event == workerserver.EventStart {
			started[event.ID] = true
		}
		return event.Event == workerserver.EventEnd && event.State == logservice.StateDone && started[event.ID]
	}
}
