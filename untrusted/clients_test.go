package untrusted

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
)

const (
	// memoryMB is the memory of each machine, and the bound on that of its process.
	memoryMB = 96
	// files is the number of descriptors of each process, and maxFiles the bound on those in use: what the store, the
	// scheduler and the agents need must stay free.
	files    = 256
	maxFiles = 192
	// serveTimeout bounds the wait for an ordinary job after a crowd. It is no measure: it only ends a test that fails.
	serveTimeout = 60 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Parts of the peer protocol: a frame of yamux has the version, a type, flags, the stream and a length.
const (
	frameHeaderBytes = 12
	yamuxData        = 0
	yamuxOpenStream  = 1
	// messageBytes is the announced size of a message that never ends.
	messageBytes = 8 << 20
)

// harness is a deployment of one entry and one agent with little memory and few descriptors.
type harness struct {
	*cluster.Cluster
	t      *testing.T
	clock  clockwork.Clock
	client *cluster.Client
	jobs   int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "radishpath")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..").CombinedOutput()
	require.NoError(t, err, string(output))
	clock := clockwork.NewRealClock()
	deployment, err := cluster.Start(t.Context(), cluster.Config{
		BinaryPath: binary,
		Clock:      clock,
		Entries:    1,
		Agents:     1,
		Memory:     memoryMB,
		Files:      files,
	})
	require.NoError(t, err)
	h := &harness{
		Cluster: deployment,
		t:       t,
		clock:   clock,
		client:  cluster.NewClient(clock),
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs in", deployment.KeepLogs())
		}
		deployment.Close()
	})
	require.NoError(t, h.Publish(1, cluster.DocumentText(cluster.DocumentConfig{})))
	h.requireServes()
	return h
}

// requireServes requires that an ordinary job is accepted and completed. A caller whose call is refused tries again.
func (h *harness) requireServes() {
	h.t.Helper()
	h.jobs++
	job := cluster.Job{
		ID:   fmt.Sprintf("%016x", h.jobs),
		Spec: "10ms",
	}
	entries := h.CallerAddresses
	h.await("job is accepted", func() bool {
		return h.client.Submit(h.t.Context(), entries, job) == cluster.Accepted
	})
	h.await("job is completed", func() bool { return h.client.State(h.t.Context(), entries[0], job) == "completed" })
}

func (h *harness) await(description string, condition func() bool) {
	h.t.Helper()
	deadline := h.clock.Now().Add(serveTimeout)
	for !condition() {
		require.True(h.t, h.clock.Now().Before(deadline), description)
		h.clock.Sleep(pollInterval)
	}
}

// peakMemoryMB returns the most resident memory that a process has had.
func (h *harness) peakMemoryMB(process *cluster.Process) int {
	h.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.ID()))
	require.NoError(h.t, err)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	require.True(h.t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(h.t, err)
	return kilobytes >> 10
}

func (h *harness) openFiles(process *cluster.Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.ID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watchFiles samples the descriptors of a process until the returned function is called, which returns the most
// seen.
func (h *harness) watchFiles(process *cluster.Process) func() int {
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, h.openFiles(process))
			select {
			case <-stop:
				done <- most
				return
			case <-h.clock.After(pollInterval / 4):
			}
		}
	}()
	return func() int {
		close(stop)
		return <-done
	}
}

func head(method, path string, fields ...string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: " + cluster.Host +
		"\r\nAuthorization: Token " + cluster.APIKey + "\r\n" + strings.Join(fields, ""))
}

// headField is a line of a head that is repeated.
var headField = []byte("X-Field: " + strings.Repeat("a", 1000) + "\r\n") //nolint:gochecknoglobals // a constant

// submission begins a job whose body has a length.
func submission(length int) []byte {
	return head("POST", cluster.Prefix+"00000000000000ff", fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
}

func frame(kind byte, flags uint16, length int) []byte {
	header := make([]byte, frameHeaderBytes)
	header[1] = kind
	binary.BigEndian.PutUint16(header[2:], flags)
	binary.BigEndian.PutUint32(header[4:], 1)
	binary.BigEndian.PutUint32(header[8:], uint32(length))
	return header
}

// peerMessage opens a stream of the peer protocol and begins a message of messageBytes.
func peerMessage() []byte {
	size := binary.AppendUvarint(nil, messageBytes)
	return bytes.Join([][]byte{
		frame(yamuxOpenStream, 1, 0),
		frame(yamuxData, 0, len(size)),
		size,
	}, nil)
}

// peerData is a frame with a part of a message.
func peerData() []byte {
	const part = 4 << 10
	return append(frame(yamuxData, 0, part), make([]byte, part)...)
}

// TestCrowds guards against clients that end a process or make it hang: in a trial, heads over the limit and without
// end made one run out of memory, and silent connections take the descriptors by which a scheduler leads.
func TestCrowds(t *testing.T) {
	callers := func(h *harness) (*cluster.Process, string) { return h.Entries[0], h.CallerAddresses[0] }
	jobs := func(h *harness) (*cluster.Process, string) { return h.Entries[0], h.JobsAddresses[0] }
	ready := func(h *harness) (*cluster.Process, string) { return h.Entries[0], h.Entries[0].ReadyAddress }
	admin := func(h *harness) (*cluster.Process, string) { return h.Entries[0], h.Entries[0].AdminAddress }
	peers := func(h *harness) (*cluster.Process, string) { return h.Entries[0], h.Entries[0].PeerAddress }
	control := func(h *harness) (*cluster.Process, string) { return h.Agents[0], h.ControlAddresses[0] }
	agentPeers := func(h *harness) (*cluster.Process, string) { return h.Agents[0], h.Agents[0].PeerAddress }
	getHead := head("GET", cluster.Prefix)
	heartbeat := head("PUT", "/v1/instances/i-other", "Content-Length: 4000000\r\n\r\n")
	const headLimit, bodyLimit, heartbeatLimit = 900 << 10, 250 << 10, 3900 << 10
	tests := []struct {
		name   string
		target func(h *harness) (*cluster.Process, string)
		script script
	}{
		{name: "unfinished heads", target: callers, script: script{opening: getHead, repeated: headField, limit: headLimit}},
		{name: "heads without end", target: callers, script: script{opening: getHead, repeated: headField}},
		{name: "blank lines without end", target: callers, script: script{repeated: []byte("\r\n")}},
		{name: "bytes without end", target: callers, script: script{repeated: []byte("\x00\x01\x02\x03")}},
		{
			name:   "unfinished bodies",
			target: callers,
			script: script{opening: submission(260 << 10), repeated: []byte(" "), limit: bodyLimit},
		},
		{
			name:   "bodies over their limit",
			target: callers,
			script: script{opening: submission(1 << 30), repeated: []byte(" ")},
		},
		{
			name:   "bodies of many steps",
			target: callers,
			script: script{
				opening:  append(submission(240<<10), cluster.ManyStepsStart...),
				repeated: []byte("{},"),
			},
		},
		{name: "silence", target: callers},
		{name: "heads without end, jobs API", target: jobs, script: script{opening: getHead, repeated: headField}},
		{name: "silence, jobs API", target: jobs},
		{name: "unfinished heads, readiness", target: ready, script: script{
			opening: getHead, repeated: headField, limit: headLimit,
		}},
		{name: "unfinished heads, metrics", target: admin, script: script{
			opening: getHead, repeated: headField, limit: headLimit,
		}},
		{name: "unfinished heartbeats", target: control, script: script{
			opening: heartbeat, repeated: []byte(" "), limit: heartbeatLimit,
		}},
		{name: "silence, control", target: control},
		{name: "messages without end", target: peers, script: script{opening: peerMessage(), repeated: peerData()}},
		{name: "silence, peers", target: peers},
		{name: "messages without end, agent", target: agentPeers, script: script{
			opening: peerMessage(), repeated: peerData(),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			process, address := test.target(h)
			mostFiles := h.watchFiles(process)
			crowd{
				clock:   h.clock,
				address: address,
				script:  test.script,
			}.run(t)
			most := mostFiles()
			require.False(t, process.HasExited(), "process has ended")
			h.requireServes()
			require.False(t, process.HasExited(), "process has ended")
			t.Logf("peak memory %d MB, most descriptors %d", h.peakMemoryMB(process), most)
			require.LessOrEqual(t, h.peakMemoryMB(process), memoryMB, "peak memory in MB")
			require.LessOrEqual(t, most, maxFiles, "descriptors")
			h.await("descriptors come back", func() bool { return h.openFiles(process) < maxFiles/4 })
		})
	}
}
