package replay

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// stated is the outcome beside a trace: counts, and the targets of the design's measures.
type stated struct {
	Done      int     `json:"done"`
	Refused   int     `json:"refused"`
	Cancelled int     `json:"cancelled"`
	Small     float64 `json:"small"`
	Burst     float64 `json:"burst"`
	Large     float64 `json:"large"`
	Packing   float64 `json:"packing"`
	Outage    float64 `json:"outage"`
	Return    float64 `json:"return"`
	Reclaimed float64 `json:"reclaimed"`
	Urgent    float64 `json:"urgent"`
}

func updating() bool {
	return flag.Lookup("update").Value.String() == "true"
}

func TestMain(m *testing.M) {
	flag.Bool("update", false, "write the traces in testdata anew")
	flag.Parse()
	os.Exit(m.Run())
}

func readTrace(t *testing.T, d Deployment) []Event {
	t.Helper()
	path := filepath.Join("testdata", d.Name+".jsonl")
	var made bytes.Buffer
	require.NoError(t, Write(&made, Generate(d)))
	if updating() {
		require.NoError(t, os.WriteFile(path, made.Bytes(), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, made.String(), string(text), "the generator no longer makes the recorded trace")
	events, err := Read(bytes.NewReader(text))
	require.NoError(t, err)
	return events
}

func deployments() []Deployment {
	return []Deployment{Mauritius(), Fiji()}
}

// TestTraces guards against decisions that miss a target on the recorded traces, and against jobs that end otherwise
// than stated: lost, refused although they could run, or run although they never can.
func TestTraces(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.Name, func(t *testing.T) {
			events := readTrace(t, d)
			text, err := os.ReadFile(filepath.Join("testdata", d.Name+".json"))
			require.NoError(t, err)
			var want stated
			require.NoError(t, json.Unmarshal(text, &want))
			own, fifo := Measure(events, Run(events, NewScheduler())), Measure(events, Run(events, NewFIFO()))
			for _, test := range []struct {
				name string
				ok   bool
				got  any
			}{
				{name: "outcomes", ok: len(own.Wrong) == 0, got: own.Wrong},
				{name: "done", ok: own.Done == want.Done, got: own.Done},
				{name: "refused", ok: own.Refused == want.Refused, got: own.Refused},
				{name: "cancelled", ok: own.Cancelled == want.Cancelled, got: own.Cancelled},
				{name: "small", ok: own.Small <= want.Small, got: own.Small},
				{name: "burst", ok: own.Burst <= want.Burst*fifo.Burst, got: own.Burst},
				{name: "large", ok: own.Large <= want.Large*fifo.Large, got: own.Large},
				{name: "packing", ok: own.Packing >= want.Packing, got: own.Packing},
				{name: "outage", ok: own.Outage >= want.Outage, got: own.Outage},
				{name: "return", ok: own.Return <= want.Return, got: own.Return},
				{name: "reclaimed", ok: own.Reclaimed >= want.Reclaimed, got: own.Reclaimed},
				{name: "urgent", ok: own.Urgent <= want.Urgent, got: own.Urgent},
			} {
				t.Run(test.name, func(t *testing.T) {
					require.True(t, test.ok, "measured %v, stated %+v", test.got, want)
				})
			}
		})
	}
}

// TestReplayIsDeterministic guards against decisions that depend on map order or on anything but the inputs.
func TestReplayIsDeterministic(t *testing.T) {
	events := Generate(Mauritius())
	first, second := Run(events, NewScheduler()), Run(events, NewScheduler())
	require.Len(t, second.Records, len(first.Records))
	for i, r := range first.Records {
		require.Equal(t, r.End, second.Records[i].End, r.ID)
		require.Equal(t, r.members, second.Records[i].members, r.ID)
	}
}

// TestDifference guards against a comparison that overlooks a changed, a missing or an additional decision.
func TestDifference(t *testing.T) {
	events := Generate(Fiji())
	outcome := Run(events, NewScheduler())
	var file bytes.Buffer
	require.NoError(t, Write(&file, WithDecisions(events, outcome)))
	recorded, err := Read(&file)
	require.NoError(t, err)
	replayed := Run(recorded, NewScheduler())
	require.Empty(t, Difference(recorded, replayed))
	missing := *replayed
	missing.Decided = missing.Decided[:len(missing.Decided)-1]
	require.Contains(t, Difference(recorded, &missing), "replayed none")
	require.Contains(t, Difference(events, replayed), "recorded none")
	changed := *replayed.Decided[7].Decision
	changed.Members = nil
	replayed.Decided[7].Decision = &changed
	require.Contains(t, Difference(recorded, replayed), "decision 8")
}

// TestReadNamesTheLine guards against a damaged trace whose fault cannot be found.
func TestReadNamesTheLine(t *testing.T) {
	_, err := Read(bytes.NewBufferString("{\"at\":0,\"event\":\"repair\"}\n{\"at\":\n"))
	require.ErrorContains(t, err, "line 2")
}

// TestRequests guards against small requests that wait behind large ones: the stated targets are 1.2 times the run time
// before the burst and a tenth of FIFO's in it.
func TestRequests(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		arrivals := Requests(seed)
		routed, fifo := RouteRequests(arrivals), FIFORequests(arrivals)
		require.LessOrEqual(t, routed.Small, 1.2, "seed %d", seed)
		require.LessOrEqual(t, routed.Burst, fifo.Burst/10, "seed %d", seed)
	}
}
