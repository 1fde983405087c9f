package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
)

// A task that ran twice because an executor's next incarnation carried out an old start must be told from other causes
// by a line of the log and a metric.
func TestStartForEarlierIncarnationIsLogged(t *testing.T) {
	const taskID = testJobID + ".0.0.0"
	running := []*cellpb.RunningTask{{Task: taskID, Run: 1}}
	tests := []struct {
		name string
		// before happens after run 1 was ordered at agent-1 and before its executor's next incarnation is reported.
		before  func(h *plannerHarness)
		running []*cellpb.RunningTask
		ended   []*cellpb.EndedTask
		want    []string
	}{
		{name: "nothing was carried out"},
		{name: "the run is expected", running: running, want: []string{"adopted"}},
		{
			name:  "the run has ended already",
			ended: []*cellpb.EndedTask{{Number: 1, Task: taskID, Run: 1, Kind: cellpb.EndKind_END_KIND_FAILED}},
			want:  []string{"adopted"},
		},
		{
			name:    "the task is done",
			before:  func(h *plannerHarness) { h.endFirstRun(cellpb.EndKind_END_KIND_DONE) },
			running: running,
			want:    []string{"after done"},
		},
		{
			name:    "the run has failed, no other is ordered",
			before:  func(h *plannerHarness) { h.endFirstRun(cellpb.EndKind_END_KIND_FAILED) },
			running: running,
			want:    []string{"given up before"},
		},
		{
			name: "another run is ordered elsewhere",
			before: func(h *plannerHarness) {
				h.endFirstRun(cellpb.EndKind_END_KIND_STOPPED)
				h.report("agent-2", "r1", nil)
				h.report("agent-1", "r1", func(report *cellpb.Report) { report.Executor.Silent = true })
				h.planAndCommit()
			},
			running: running,
			want:    []string{"beside another run"},
		},
		{
			name:    "the task is unknown",
			running: []*cellpb.RunningTask{{Task: "b000000000000001.0.0.0", Run: 1}},
			want:    []string{"unknown task"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			var logged, counted []string
			h.planner.config.Log = func(event string, fields ...any) {
				if event == "late start at next incarnation" {
					logged = append(logged, fieldOf(fields, "outcome"))
				}
			}
			h.planner.config.Count = func(event, cause string) {
				if event == "late_starts" {
					counted = append(counted, cause)
				}
			}
			h.report("agent-1", "r1", nil)
			h.submit(singleTaskJob(testJobID, "renders", "schools", 1))
			h.planAndCommit()
			h.report("agent-1", "r1", func(report *cellpb.Report) { report.Running = running })
			require.Empty(t, logged, "an order for this incarnation")
			if test.before != nil {
				test.before(h)
			}
			h.report("agent-1", "r1", func(report *cellpb.Report) {
				report.Executor.Born++
				report.Running = test.running
				report.Ended = test.ended
			})
			require.Equal(t, test.want, logged)
			require.Equal(t, test.want, counted)
		})
	}
}

// endFirstRun reports the end of run 1 of the test's task at agent-1.
func (h *plannerHarness) endFirstRun(kind cellpb.EndKind) {
	h.report("agent-1", "r1", func(report *cellpb.Report) {
		report.Ended = []*cellpb.EndedTask{{Number: 1, Task: testJobID + ".0.0.0", Run: 1, Kind: kind}}
	})
}

// fieldOf returns the value of a field of a log line.
func fieldOf(fields []any, key string) string {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == key {
			value, _ := fields[i+1].(string)
			return value
		}
	}
	return ""
}
