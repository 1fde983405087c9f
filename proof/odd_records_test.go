package proof

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
)

func (h *harness) leaveOddRecords() {
	h.t.Helper()
	require.NoError(h.t, h.LeaveOddRecords())
}

// sendOddHeartbeats sends heartbeats of another writer to every agent and requires that they are rejected.
func (h *harness) sendOddHeartbeats() {
	h.t.Helper()
	for _, address := range h.ControlAddresses {
		for _, body := range cluster.OddHeartbeats() {
			require.Equal(h.t, http.StatusBadRequest, h.sendAsExecutor(http.MethodPut, address, "i-other", body), body)
		}
	}
}

// sendAsExecutor sends a message of an executor to an agent and returns the status of the response: a heartbeat with
// PUT, the notice that the executor shuts down with DELETE.
func (h *harness) sendAsExecutor(method, address, executorID, body string) int {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.t.Context(), method,
		"http://"+address+"/v1/instances/"+executorID, strings.NewReader(body))
	require.NoError(h.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(h.t, err)
	require.NoError(h.t, response.Body.Close())
	return response.StatusCode
}

// logLines returns the number of lines of a process's log that contain a text.
func (h *harness) logLines(process *cluster.Process, text string) int {
	h.t.Helper()
	content, err := os.ReadFile(filepath.Join(h.Directory(), process.Name+".log"))
	require.NoError(h.t, err)
	return strings.Count(string(content), text)
}

// TestOddRecords guards against a record of another writer at which the processes that read it end again and again, or
// stop following a log: at a start and while they run, jobs complete, configurations take effect and no process ends.
func TestOddRecords(t *testing.T) {
	h := newHarness(t, 3, cluster.DocumentConfig{})
	h.leaveOddRecords()
	h.sendOddHeartbeats()
	h.awaitCompleted(h.submit(h.job("10ms")), reactionTimeout)
	h.requireServes(2)

	scheduler := h.schedulerEntry()
	h.leaveOddRecords()
	h.restart(scheduler, 0)
	h.awaitCompleted(h.submit(h.job("10ms")), reactionTimeout+2*time.Second)
	h.requireServes(3)

	h.leaveOddRecords()
	require.NoError(t, h.Publish(4, cluster.DocumentText(cluster.DocumentConfig{})))
	h.Store.CompactAll()
	for _, entry := range h.Entries {
		h.restart(entry, 0)
	}
	h.awaitEntriesReady(2 * reactionTimeout)
	h.awaitCompleted(h.submit(h.job("10ms")), 2*reactionTimeout)
	h.requireServes(5)
	h.requireNoViolations()
	for _, process := range h.Processes() {
		require.Zero(t, h.logLines(process, "recovered from panic"), process.Name)
	}
	for _, entry := range h.Entries {
		require.Positive(t, h.logLines(entry, "skipping invalid record in cell log"), entry.Name)
	}
}

// requireServes publishes a key under a revision and requires that every entry accepts it.
func (h *harness) requireServes(revision int64) {
	h.t.Helper()
	key := "key-" + h.job("").ID
	require.NoError(h.t, h.Publish(revision,
		cluster.DocumentText(cluster.DocumentConfig{APIKeys: []string{cluster.APIKey, key}})))
	for _, address := range h.CallerAddresses {
		job := h.job("10ms")
		job.APIKey = key
		h.await(reactionTimeout, "the new key is accepted at "+address, func() bool {
			status, err := h.client.SubmitOnce(h.t.Context(), address, job)
			return err == nil && status == http.StatusOK
		})
		h.awaitCompleted(job, reactionTimeout)
	}
}

// TestForeignHeartbeatsKeepExecutorsInUse guards against executors that a well-formed heartbeat of another writer takes
// out of use: running tasks go on, and jobs that are accepted afterwards run.
func TestForeignHeartbeatsKeepExecutorsInUse(t *testing.T) {
	h := newHarness(t, 3, cluster.DocumentConfig{})
	for kind := range cluster.ForeignHeartbeats(0, time.Time{}) {
		running := h.submit(h.job("1s"))
		h.awaitRunning(running, reactionTimeout)
		for i, address := range h.ControlAddresses {
			heartbeat := cluster.ForeignHeartbeats(i, h.clock.Now())[kind]
			h.sendAsExecutor(http.MethodPut, address, heartbeat.ExecutorID, heartbeat.Body)
		}
		h.awaitCompleted(h.submit(h.job("10ms")), reactionTimeout)
		h.awaitCompleted(running, reactionTimeout)
		require.Equal(t, 1, h.startsOf(running), "the running task isn't started again")
	}
	h.Executors[0].Crash(time.Second)
	h.awaitCompleted(h.submit(h.job("10ms")), reactionTimeout)
	h.requireNoViolations()
}

// startsOf returns the number of starts of a job's first task.
func (h *harness) startsOf(job cluster.Job) int {
	starts := 0
	for _, start := range h.Recorder.StartsSince(time.Time{}) {
		if start.Task == job.ID+".0.0.0" {
			starts++
		}
	}
	return starts
}
