package workerserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/backend"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/rest"
	"radishpath.example/radishpath/standin/workerserver"
)

type fixture struct {
	*logservice.Worker
	backend *backend.Server
	clock   *clockwork.FakeClock
	faults  *rest.Client
	record  *bytes.Buffer
}

func newFixture(t *testing.T, config workerserver.Config) fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	record := &bytes.Buffer{}
	config.Clock = clock
	config.ID = "w1"
	config.Zone = "suva"
	config.Accelerators = 4
	config.Slots = 2
	config.Record = record
	worker, err := workerserver.New(config)
	require.NoError(t, err)
	server := httptest.NewServer(worker.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address := server.Listener.Addr().String()
	return fixture{
		Worker: logservice.NewWorker(logservice.WorkerConfig{
			Address: address,
		}),
		backend: backend.NewServer(backend.ServerConfig{
			Address: address,
		}),
		clock: clock,
		faults: rest.New(rest.Config{
			Address: address,
		}),
		record: record,
	}
}

func (f fixture) await(t *testing.T, id, state string) logservice.TaskStatus {
	t.Helper()
	found := logservice.TaskStatus{}
	require.Eventually(t, func() bool {
		tasks, err := f.Tasks(t.Context())
		require.NoError(t, err)
		for _, task := range tasks {
			if task.ID == id && task.State == state {
				found = task
				return true
			}
		}
		return false
	}, 10*time.Second, 5*time.Millisecond, "task %s is not %s", id, state)
	return found
}

// events returns the kinds of the recorded events; it must not be called while one may be added.
func (f fixture) events(t *testing.T) []string {
	t.Helper()
	kinds := []string{}
	for line := range bytes.Lines(f.record.Bytes()) {
		event := workerserver.Event{}
		require.NoError(t, json.Unmarshal(line, &event))
		kinds = append(kinds, event.Event)
	}
	return kinds
}

func (f fixture) set(t *testing.T, faults workerserver.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	require.NoError(t, f.faults.Do(t.Context(), http.MethodPut, "/faults", body, nil))
}

func newTask(id, work string) logservice.Task {
	return logservice.Task{
		ID:           id,
		Lease:        "lease",
		Job:          "job",
		Accelerators: 1,
		Payload:      []byte(`{"work":"` + work + `"}`),
	}
}

// TestStartRefusals guards against a worker that starts what it must refuse, and against clients that take a task that
// runs for one that was refused.
func TestStartRefusals(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(task *logservice.Task)
		after  time.Duration
		want   error
	}{
		{
			name:   "lapsed lease",
			change: func(*logservice.Task) {},
			after:  time.Second,
			want:   logservice.ErrRejected,
		},
		{
			name:   "unknown lease",
			change: func(task *logservice.Task) { task.Lease = "other" },
			want:   logservice.ErrRejected,
		},
		{
			name:   "overlapping accelerators",
			change: func(task *logservice.Task) { task.Accelerators = 3 },
			want:   logservice.ErrRejected,
		},
		{
			name:   "accelerators that do not exist",
			change: func(task *logservice.Task) { task.Accelerators = 1 << 4 },
			want:   logservice.ErrRejected,
		},
		{
			name:   "known id",
			change: func(task *logservice.Task) { task.ID = "first" },
			want:   logservice.ErrExists,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := newFixture(t, workerserver.Config{})
			require.NoError(t, worker.Lease(t.Context(), "lease", time.Second))
			require.NoError(t, worker.Start(t.Context(), newTask("first", "1h")))
			worker.clock.Advance(test.after)
			task := newTask("second", "1h")
			task.Accelerators = 2
			test.change(&task)
			err := worker.Start(t.Context(), task)
			require.ErrorIs(t, err, test.want)
			if errors.Is(test.want, logservice.ErrExists) {
				require.NotErrorIs(t, err, logservice.ErrRejected)
			}
			tasks, err := worker.Tasks(t.Context())
			require.NoError(t, err)
			require.Len(t, tasks, 1)
			require.Contains(t, worker.events(t), workerserver.EventRefusal)
		})
	}
}

// TestLeaseLapses guards against tasks that outlive their lease, and against late timers of a paused worker that count
// work done after the lease expired.
func TestLeaseLapses(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	begin := worker.clock.Now()
	require.NoError(t, worker.Lease(t.Context(), "lease", 2*time.Second))
	require.NoError(t, worker.Start(t.Context(), newTask("renewed", "3s")))
	worker.clock.Advance(time.Second)
	require.NoError(t, worker.Lease(t.Context(), "lease", 2*time.Second))
	worker.clock.Advance(1900 * time.Millisecond)
	worker.await(t, "renewed", logservice.StateRunning)
	worker.clock.Advance(time.Hour)
	worker.await(t, "renewed", logservice.StateLapsed)
	require.Equal(t, []string{workerserver.EventStart, workerserver.EventLapse}, worker.events(t))
	require.Contains(t, worker.record.String(), begin.Add(3*time.Second).Format(time.RFC3339Nano))
}

// TestLostAnswerOfStart guards against a lost answer that clients see as a refusal.
func TestLostAnswerOfStart(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	require.NoError(t, worker.Lease(t.Context(), "lease", time.Second))
	worker.set(t, workerserver.Faults{
		Lost: 1,
	})
	err := worker.Start(t.Context(), newTask("task", "1h"))
	require.Error(t, err)
	require.NotErrorIs(t, err, logservice.ErrRejected)
	require.ErrorIs(t, worker.Start(t.Context(), newTask("task", "1h")), logservice.ErrExists)
	worker.await(t, "task", logservice.StateRunning)
}

// TestCheckpointResumes guards against work that is lost or done twice when a task moves, also to another worker.
func TestCheckpointResumes(t *testing.T) {
	for _, shared := range []bool{false, true} {
		config := workerserver.Config{}
		if shared {
			config.Checkpoints = t.TempDir()
		}
		first := newFixture(t, config)
		second := first
		if shared {
			second = newFixture(t, config)
		}
		require.NoError(t, first.Lease(t.Context(), "lease", time.Hour))
		require.NoError(t, first.Start(t.Context(), newTask("first", "10s")))
		first.clock.Advance(2 * time.Second)
		require.NoError(t, first.Throttle(t.Context(), "first"))
		first.clock.Advance(8 * time.Second)
		require.NoError(t, first.Checkpoint(t.Context(), "first"))
		require.NoError(t, first.Stop(t.Context(), "first"))
		first.await(t, "first", logservice.StateCheckpointed)
		require.NoError(t, first.Remove(t.Context(), "first"))
		require.NoError(t, second.Lease(t.Context(), "lease", time.Hour))
		task := newTask("second", "10s")
		task.Resume = true
		require.NoError(t, second.Start(t.Context(), task))
		second.clock.Advance(5900 * time.Millisecond)
		second.await(t, "second", logservice.StateRunning)
		second.clock.Advance(100 * time.Millisecond)
		second.await(t, "second", logservice.StateDone)
	}
}

// TestServeRunsOnce guards against a request that runs again when its answer was lost or its sender gave up.
func TestServeRunsOnce(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	request := backend.Request{
		ID:      "request",
		Job:     "job",
		Payload: []byte(`{"work":"1s"}`),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := worker.backend.Serve(ctx, request)
	require.Error(t, err)
	require.NotErrorIs(t, err, backend.ErrRejected)
	worker.clock.Advance(time.Second)
	worker.set(t, workerserver.Faults{
		Lost: 1,
	})
	_, err = worker.backend.Serve(t.Context(), request)
	require.Error(t, err)
	require.NotErrorIs(t, err, backend.ErrRejected)
	answer, err := worker.backend.Serve(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, "job 1", string(answer.Body))
	require.NoError(t, worker.backend.Forget(t.Context(), request.ID))
	kept, err := worker.backend.Requests(t.Context())
	require.NoError(t, err)
	require.Empty(t, kept)
}

// TestServeRefusesWithoutSlot guards against more requests than slots at the same time.
func TestServeRefusesWithoutSlot(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	answers := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			_, err := worker.backend.Serve(t.Context(), backend.Request{
				ID:      id,
				Payload: []byte(`{"work":"1s"}`),
			})
			answers <- err
		}()
	}
	require.NoError(t, worker.clock.BlockUntilContext(t.Context(), 2))
	_, err := worker.backend.Serve(t.Context(), backend.Request{
		ID: "c",
	})
	require.ErrorIs(t, err, backend.ErrRejected)
	worker.clock.Advance(time.Second)
	require.NoError(t, <-answers)
	require.NoError(t, <-answers)
}

// TestFailAndLeave guards against switches that do not reach tasks, requests and health.
func TestFailAndLeave(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	worker.set(t, workerserver.Faults{
		Fail:    true,
		Leaving: true,
	})
	require.NoError(t, worker.Lease(t.Context(), "lease", time.Second))
	require.NoError(t, worker.Start(t.Context(), newTask("task", "1h")))
	require.Equal(t, "worker fails all work", worker.await(t, "task", logservice.StateFailed).Reason)
	answer, err := worker.backend.Serve(t.Context(), backend.Request{
		ID:      "request",
		Payload: []byte(`{"work":"1h"}`),
	})
	require.NoError(t, err)
	require.True(t, answer.Failed)
	leaving, err := worker.backend.Leaving(t.Context())
	require.NoError(t, err)
	require.True(t, leaving)
}

// TestBadPayloadFails guards against a payload that no worker can run being refused, which says that another worker may
// run it.
func TestBadPayloadFails(t *testing.T) {
	worker := newFixture(t, workerserver.Config{})
	require.NoError(t, worker.Lease(t.Context(), "lease", time.Second))
	task := newTask("task", "1h")
	task.Payload = []byte("{")
	require.NoError(t, worker.Start(t.Context(), task))
	require.Contains(t, worker.await(t, "task", logservice.StateFailed).Reason, "decode payload")
	answer, err := worker.backend.Serve(t.Context(), backend.Request{
		ID:      "request",
		Payload: task.Payload,
	})
	require.NoError(t, err)
	require.True(t, answer.Failed)
	require.Contains(t, answer.Reason, "decode payload")
}

// TestUsageLags guards against usage that is reported too early, or never.
func TestUsageLags(t *testing.T) {
	worker := newFixture(t, workerserver.Config{
		Lag: 2 * time.Second,
	})
	require.NoError(t, worker.Lease(t.Context(), "lease", time.Hour))
	require.NoError(t, worker.Start(t.Context(), newTask("task", "3s")))
	used := func() uint64 {
		description, err := worker.Describe(t.Context())
		require.NoError(t, err)
		return description.Usage.Accelerators
	}
	worker.clock.Advance(time.Second)
	require.Zero(t, used())
	worker.clock.Advance(time.Second)
	require.Equal(t, uint64(1), used())
	worker.clock.Advance(time.Second)
	worker.await(t, "task", logservice.StateDone)
	require.Equal(t, uint64(1), used())
	worker.clock.Advance(2 * time.Second)
	require.Zero(t, used())
}
