package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/storeserver"
)

// TestZoneOutOfService guards against work that still starts in an availability zone a few seconds after the zone was
// taken out of service, and against a zone that stays idle after its return to service.
func TestZoneOutOfService(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(h *harness)
	}{
		{name: "no fault", injectFault: func(*harness) {}},
		{name: "scheduler killed", injectFault: func(h *harness) { h.schedulerEntry().Kill() }},
		{name: "store unresponsive for one entry", injectFault: func(h *harness) {
			h.Entries[0].Endpoint.SetFault(storeserver.FaultUnresponsive, 0)
		}},
		{name: "agent in the zone paused", injectFault: func(h *harness) {
			go h.Agents[1].Pause(2 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 6, cluster.DocumentConfig{})
			// Each task occupies a whole executor, so that the load needs all zones.
			load := h.load(12, 8)
			h.clock.Sleep(2 * time.Second)
			require.True(t, h.workStartedIn(zones[1], time.Time{}), "the zone is used before it is taken out of service")
			removedAt := h.clock.Now()
			require.NoError(t, h.Publish(2, cluster.DocumentText(cluster.DocumentConfig{EvacuatedZones: zones[1:2]})))
			test.injectFault(h)
			h.clock.Sleep(reactionTimeout + 2*time.Second)
			returnedAt := h.clock.Now()
			for _, start := range h.Recorder.StartsSince(removedAt.Add(reactionTimeout)) {
				require.NotEqual(t, zones[1], start.Zone, "%s started %s after the zone was taken out of service",
					start.Task, start.At.Sub(removedAt))
			}
			require.NoError(t, h.Publish(3, cluster.DocumentText(cluster.DocumentConfig{})))
			h.await(10*time.Second, "work starts in the zone again", func() bool {
				return h.workStartedIn(zones[1], returnedAt)
			})
			load.stopAndVerify()
			h.requireNoViolations()
		})
	}
}

// workStartedIn reports whether a task has started in a zone since the given time.
func (h *harness) workStartedIn(zone string, since time.Time) bool {
	for _, start := range h.Recorder.StartsSince(since) {
		if start.Zone == zone {
			return true
		}
	}
	return false
}

// TestKeyRotation guards against a removed key that stays valid for long, also at an entry that can't read the store,
// and against an added key that stays invalid for long.
func TestKeyRotation(t *testing.T) {
	h := newHarness(t, 2, cluster.DocumentConfig{APIKeys: []string{cluster.APIKey, "old"}})
	h.Entries[2].Endpoint.SetFault(storeserver.FaultUnresponsive, 0)
	require.NoError(t, h.Publish(2,
		cluster.DocumentText(cluster.DocumentConfig{APIKeys: []string{cluster.APIKey, "new"}})))
	h.clock.Sleep(reactionTimeout)
	job := h.job("10ms")
	job.APIKey = "old"
	for _, address := range h.CallerAddresses {
		status, err := h.client.SubmitOnce(t.Context(), address, job)
		require.NoError(t, err)
		require.Contains(t, []int{401, 503}, status, address)
	}
	job.APIKey = "new"
	status, err := h.client.SubmitOnce(t.Context(), h.CallerAddresses[0], job)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Zero(t, h.Recorder.StartCount(h.job("").ID+".0.0.0"))
}

// TestConcurrentPublish guards against two operators who overwrite each other's document, and against a document that
// reverts to an older revision when entries restart or the store compacts its logs.
func TestConcurrentPublish(t *testing.T) {
	h := newHarness(t, 2, cluster.DocumentConfig{})
	path := filepath.Join(h.Directory(), "race.ini")
	text := "# a comment\n" + cluster.DocumentText(cluster.DocumentConfig{Guarantee: 4})
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	exitCodes := make(chan int, 2)
	var publishers sync.WaitGroup
	for range 2 {
		publishers.Go(func() {
			command := exec.Command(binaryPath, "publish", "--base", "1", "--store", h.StoreAddress, path)
			// One of the two commands must fail; the exit codes are checked below.
			_ = command.Run()
			exitCodes <- command.ProcessState.ExitCode()
		})
	}
	publishers.Wait()
	require.ElementsMatch(t, []int{0, 3}, []int{<-exitCodes, <-exitCodes},
		"one publish succeeds, the other reports a conflict")

	h.Store.CompactAll()
	for _, entry := range h.Entries {
		h.restart(entry, 0)
	}
	shown, err := exec.Command(binaryPath, "show", "--store", h.StoreAddress).CombinedOutput()
	require.NoError(t, err)
	require.Equal(t, "# revision 2\n"+text, string(shown))
	h.submit(h.job("10ms"))
	history, err := exec.Command(binaryPath, "show", "--history", "--store", h.StoreAddress).CombinedOutput()
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(history), "\n"), string(history))
}
