package proof

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/standin/cluster"
)

// oddRecord is a record that another writer leaves in a topic.
type oddRecord struct {
	topic string
	key   string
	value []byte
}

// oddRecords returns records that no process of a cell writes.
func oddRecords(t *testing.T) []oddRecord {
	t.Helper()
	encode := func(record *cellpb.Record) []byte {
		value, err := proto.Marshal(record)
		require.NoError(t, err)
		return value
	}
	claim := encode(&cellpb.Record{Body: &cellpb.Record_Claim{Claim: &cellpb.Claim{
		Epoch:   1<<62 + 1,
		Holder:  "other",
		Address: "10.0.0.9:70000",
	}}})
	member := encode(&cellpb.Record{Body: &cellpb.Record_Member{Member: &cellpb.Member{
		Id:      "other",
		Address: "10.0.0.9:70000",
	}}})
	progress := encode(&cellpb.Record{Body: &cellpb.Record_Progress{Progress: &cellpb.Progress{
		Id:    "00000000000000ff",
		State: 77,
		Tasks: []*cellpb.Task{{Run: 1<<31 - 1, Step: 1<<31 - 1, Failures: -1}},
	}}})
	nested := []byte(strings.Repeat("[", 200_000))
	return []oddRecord{
		{topic: "keyed.cell", key: "scheduler", value: claim},
		{topic: "keyed.cell", key: "other", value: claim},
		{topic: "keyed.cell", key: "entry/other", value: member},
		{topic: "keyed.cell", key: "entry/\xff\xfe", value: member},
		{topic: "keyed.cell", key: "progress/00000000000000ff", value: progress},
		{topic: "keyed.cell", key: "job/00000000000000fe", value: nested},
		{topic: "keyed.cell", key: "job/00000000000000fd", value: bytes.Repeat([]byte{0xff}, 300_000)},
		{topic: "keyed.cell", key: "", value: nested},
		{topic: "keyed.cell", key: strings.Repeat("k", 255), value: []byte("x")},
		{topic: "keyed.op", key: "config", value: nested},
		{topic: "keyed.op", key: "config", value: []byte(`{"version":9223372036854775807,"routes":[]}`)},
		{topic: "keyed.op", key: "config", value: []byte(`{"version":1e999}`)},
		{topic: "keyed.op", key: "evacuate/\xff", value: nested},
		{topic: "keyed.op", key: "wave/1", value: nested},
		{topic: "keyed.op", key: "", value: []byte("x")},
		{topic: "keyed.document", key: "text/9", value: nested},
	}
}

func (h *harness) leaveOddRecords() {
	h.t.Helper()
	for _, record := range oddRecords(h.t) {
		h.Store.Append(record.topic, record.key, record.value)
	}
}

// sendOddHeartbeats sends heartbeats of another writer to every agent and requires that they are rejected.
func (h *harness) sendOddHeartbeats() {
	h.t.Helper()
	for _, address := range h.ControlAddresses {
		for _, field := range []string{
			`"address":"10.0.0.9:70000"`, `"born":1e300`, `"born":1e999`, `"clockMs":1e300`, `"seq":18446744073709551616`,
			`"state":"idle"`, `"labels":` + strings.Repeat("[", 50_000),
		} {
			body := `{"service":"desk","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":1},` + field + `}`
			request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPut,
				"http://"+address+"/v1/instances/i-other", strings.NewReader(body))
			require.NoError(h.t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(h.t, err)
			require.NoError(h.t, response.Body.Close())
			require.Equal(h.t, http.StatusBadRequest, response.StatusCode, field)
		}
	}
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
	h.await(2*reactionTimeout, "entries are ready after a restart", func() bool {
		for _, entry := range h.Entries {
			if !h.client.IsReady(t.Context(), entry.ReadyAddress) {
				return false
			}
		}
		return true
	})
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
