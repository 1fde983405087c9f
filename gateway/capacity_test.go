package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Guards against a job that is queued forever because no executor is large enough, instead of being rejected with the
// reason, and against rejecting a job that may fit while the scheduler doesn't know all executors yet.
func TestSubmitRejectsJobLargerThanAnyExecutor(t *testing.T) {
	desk := &cellpb.Capacity{Service: "desk", Cpu: 32000, MemoryMb: 64000, Accelerators: 8}
	tests := []struct {
		name       string
		capacities []*cellpb.Capacity
		step       *cellpb.Step
		want       cell.Outcome
	}{
		{name: "fits", capacities: []*cellpb.Capacity{desk}, step: &cellpb.Step{Accelerators: 8}},
		{
			name: "too many accelerators", capacities: []*cellpb.Capacity{desk}, step: &cellpb.Step{Accelerators: 9},
			want: cell.OutcomeNotRun,
		},
		{
			name: "too much memory", capacities: []*cellpb.Capacity{desk}, step: &cellpb.Step{MemoryMb: 64001},
			want: cell.OutcomeNotRun,
		},
		{name: "cpu not charged", capacities: []*cellpb.Capacity{desk}, step: &cellpb.Step{Cpu: 40000, Fills: true}},
		{name: "no capacities published", step: &cellpb.Step{Accelerators: 9}},
		{
			name: "capacities of another service only", capacities: []*cellpb.Capacity{{Service: "other"}},
			step: &cellpb.Step{Accelerators: 9},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFixture(t)
			f.appendErrs = []error{nil}
			claim, err := cell.ClaimRecord(&cellpb.Claim{Epoch: 1, Capacities: test.capacities})
			require.NoError(t, err)
			f.mirror.ApplyCell([]cell.LogRecord{claim}, false)
			test.step.Count = 1
			response := f.gateway.Submit(t.Context(), cell.Call{
				Host:    "h",
				Path:    "/q/" + testJobID,
				APIKey:  "k",
				Timeout: 500 * time.Millisecond,
			}, &cellpb.Job{
				Occurrences: 1,
				Steps:       []*cellpb.Step{test.step},
			})
			require.Equal(t, test.want, response.Outcome)
			if test.want != cell.OutcomeOK {
				require.NotEmpty(t, response.Reason)
				require.Contains(t, f.logs.String(), response.Reason, "the log line of the rejection has the reason")
			}
		})
	}
}
