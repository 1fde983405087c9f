package harness_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/proof/harness"
)

func newHarness(t *testing.T) *harness.Harness {
	t.Helper()
	return newHarnessIn(t, "")
}

func newHarnessIn(t *testing.T, directory string) *harness.Harness {
	t.Helper()
	return harness.New(t, harness.Config{
		Clock:     clockwork.NewRealClock(),
		Directory: directory,
	})
}

// exists reports whether the process runs; a process that ended and was not waited for by its parent does not.
func exists(pid int) bool {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err == nil && !strings.Contains(string(text), ") Z ")
}

func startTask(t *testing.T, worker *harness.Worker, id string) {
	t.Helper()
	client := logservice.NewWorker(logservice.WorkerConfig{
		Address: worker.Address,
	})
	require.NoError(t, client.Lease(t.Context(), "lease", time.Hour))
	require.NoError(t, client.Start(t.Context(), logservice.Task{
		ID:      id,
		Lease:   "lease",
		Job:     "job",
		Payload: []byte(`{"work":"1h"}`),
	}))
}

// TestProcessesEndWithTest guards against processes that outlive their test, also those that are stopped.
func TestProcessesEndWithTest(t *testing.T) {
	var pids []int
	t.Run("inner", func(t *testing.T) {
		h := newHarness(t)
		log, worker := h.StartLog(), h.StartWorker(harness.WorkerConfig{
			ID: "w1",
		})
		worker.Stop()
		pids = []int{log.PID(), worker.PID()}
	})
	require.Len(t, pids, 2)
	for _, pid := range pids {
		require.False(t, exists(pid))
	}
}

// TestProcessesEndWithParent guards against processes that outlive a test process that was killed.
func TestProcessesEndWithParent(t *testing.T) {
	binaries := filepath.Dir(newHarness(t).StartLog().Path())
	executable, err := os.Executable()
	require.NoError(t, err)
	parent := exec.Command(executable)
	parent.Env = append(os.Environ(), parentVariable+"="+binaries)
	output, err := parent.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, parent.Start())
	line, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	require.NoError(t, err)
	require.True(t, exists(pid))
	require.NoError(t, parent.Process.Kill())
	require.Error(t, parent.Wait())
	require.Eventually(t, func() bool { return !exists(pid) }, 10*time.Second, 10*time.Millisecond)
}

// TestRestartKeepsAddress guards against processes that come back where nobody looks for them, and a shutdown that is
// taken for a crash.
func TestRestartKeepsAddress(t *testing.T) {
	log := newHarness(t).StartLog()
	offset, err := log.Client.Append(t.Context(), "jobs", []byte("a"))
	require.NoError(t, err)
	require.Zero(t, offset)
	log.Kill()
	_, err = log.Client.Read(t.Context(), "jobs", 0, 1, 0)
	require.ErrorIs(t, err, logservice.ErrRejected)
	log.Restart()
	page, err := log.Client.Read(t.Context(), "jobs", 0, 1, 0)
	require.NoError(t, err)
	require.Empty(t, page.Records)
	require.Zero(t, log.Terminate())
	require.Len(t, log.Deaths(), 2)
}

// TestEventsSurviveKill guards against work of a killed worker that the invariants do not see or never see end, and
// against work of another harness in the same directory.
func TestEventsSurviveKill(t *testing.T) {
	config := harness.WorkerConfig{
		ID:   "w1",
		Zone: "suva",
	}
	directory := t.TempDir()
	earlier := newHarnessIn(t, directory).StartWorker(config)
	startTask(t, earlier, "earlier")
	h := newHarnessIn(t, directory)
	worker := h.StartWorker(config)
	startTask(t, worker, "first")
	worker.Stop()
	paused := clockwork.NewRealClock().Now()
	worker.Restart()
	startTask(t, worker, "second")
	events := h.Events()
	kinds := []string{}
	for _, event := range events {
		kinds = append(kinds, event.Event+" "+event.ID+" "+event.State)
	}
	require.Equal(t, []string{"start first running", "end first killed", "start second running"}, kinds)
	require.False(t, events[1].Time.After(paused))
}
