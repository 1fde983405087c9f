package mirror

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

var errOdd = errors.New("odd record")

// Guards against a follower that ends at an odd record, that passes over it in silence, or that reports it with every
// reload. The records around it count.
func TestOddRecordIsReportedOnce(t *testing.T) {
	tests := []struct {
		name  string
		apply func(operations cell.Operations, record cell.LogRecord) (cell.Operations, error)
	}{
		{
			name:  "rejected",
			apply: func(operations cell.Operations, _ cell.LogRecord) (cell.Operations, error) { return operations, errOdd },
		},
		{
			name:  "panic of the decoder",
			apply: func(cell.Operations, cell.LogRecord) (cell.Operations, error) { panic("odd record") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logs := &bytes.Buffer{}
			metrics := tally.NewTestScope("", nil)
			m := New(Config{
				Logger:   hclog.New(&hclog.LoggerOptions{Output: logs, JSONFormat: true}),
				BootTime: boottime.NewClock(),
				Metrics:  metrics,
				ApplyRecord: func(operations cell.Operations, record cell.LogRecord) (cell.Operations, error) {
					if record.Key == "odd" {
						return test.apply(operations, record)
					}
					return operations.WithZone(record.Key, true), nil
				},
			})
			records := []cell.LogRecord{
				{Key: "a", Value: []byte("1"), Offset: 40},
				{Key: "odd", Value: []byte("1"), Offset: 41},
				{Key: "b", Value: []byte("1"), Offset: 42},
			}
			for range 3 {
				m.ApplyOperations(records, true)
				require.Equal(t, map[string]bool{"a": true, "b": true}, m.Operations().EvacuatedZones)
			}
			require.Equal(t, 1, strings.Count(logs.String(), "skipping invalid record in operations log"), logs.String())
			require.Contains(t, logs.String(), `"offset":41`)
			require.EqualValues(t, 1, metrics.Snapshot().Counters()["invalid_records+log=operations"].Value())

			m.ApplyOperations([]cell.LogRecord{{Key: "odd", Value: []byte("1"), Offset: 50}}, false)
			require.Equal(t, 2, strings.Count(logs.String(), "skipping invalid record in operations log"),
				"the next odd record is another one")
		})
	}
}

// Guards against an odd record in the cell's log that is reported with every reload.
func TestOddCellRecordIsReportedOnce(t *testing.T) {
	logs := &bytes.Buffer{}
	metrics := tally.NewTestScope("", nil)
	m := New(Config{
		Logger:   hclog.New(&hclog.LoggerOptions{Output: logs, JSONFormat: true}),
		BootTime: boottime.NewClock(),
		Metrics:  metrics,
	})
	for range 3 {
		m.ApplyCell([]cell.LogRecord{
			{Key: "job/1", Value: []byte(strings.Repeat("[", 1<<20)), Offset: 7},
			{Offset: 8, Err: errOdd},
		}, true)
	}
	require.Equal(t, 2, strings.Count(logs.String(), "skipping invalid record in cell log"))
	require.EqualValues(t, 2, metrics.Snapshot().Counters()["invalid_records+log=cell"].Value())
	require.Less(t, logs.Len(), 4096, "the log line doesn't hold the record")
}

// Guards against memory that grows with each odd record of a writer that leaves many.
func TestReportedOffsetsAreBounded(t *testing.T) {
	reported := newReportedOffsets()
	for offset := range int64(10 * maxReportedOffsets) {
		require.True(t, reported.add(offset))
		require.False(t, reported.add(offset))
	}
	require.LessOrEqual(t, len(reported.offsets), maxReportedOffsets)
}

// Guards against a claim of another writer, passed on by an older entry, that no scheduler's epoch can exceed.
func TestPeerClaimBeyondFenceTokenIsIgnored(t *testing.T) {
	m := New(Config{
		Logger:   hclog.NewNullLogger(),
		BootTime: boottime.NewClock(),
	})
	for _, epoch := range []int64{math.MaxInt64, 1 << 43, -1, 0} {
		m.SetPeerClaim(&cellpb.Claim{Epoch: epoch, Holder: "odd"})
	}
	m.SetPeerClaim(&cellpb.Claim{Epoch: 7, Holder: "a"})
	claim, _ := m.Claim()
	require.Equal(t, "a", claim.GetHolder())
}
