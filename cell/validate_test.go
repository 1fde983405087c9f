package cell

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
)

func validJob() *cellpb.Job {
	return &cellpb.Job{
		Id:          "a000000000000001",
		Occurrences: 1,
		Steps: []*cellpb.Step{
			{Count: 2, Cpu: 100, Accelerators: 1, EstimateMs: 500},
			{Count: 1, Cpu: 100, DependsOn: []int32{0}},
		},
	}
}

// invalidJobs are changes of a valid job after each of which it would panic the scheduler, exhaust its memory or free
// resources that nobody released. All entries read the same record, so one such job could stop a cell for good.
//
//nolint:gochecknoglobals // a constant table
var invalidJobs = []struct {
	name   string
	change func(job *cellpb.Job)
}{
	{name: "no steps", change: func(job *cellpb.Job) { job.Steps = nil }},
	{name: "no occurrences", change: func(job *cellpb.Job) { job.Occurrences = 0 }},
	{name: "no tasks", change: func(job *cellpb.Job) { job.Steps[0].Count = 0 }},
	{name: "dependency on itself", change: func(job *cellpb.Job) { job.Steps[1].DependsOn[0] = 1 }},
	{name: "negative dependency", change: func(job *cellpb.Job) { job.Steps[1].DependsOn[0] = -1 }},
	{name: "too many tasks", change: func(job *cellpb.Job) { job.Steps[0].Count = maxTasksPerJob }},
	{name: "too many occurrences", change: func(job *cellpb.Job) { job.Occurrences = maxTasksPerJob }},
	{
		// 3 x 2^31 x 2^31 tasks overflow an int64 to a negative number.
		name: "task count overflows",
		change: func(job *cellpb.Job) {
			job.Occurrences = math.MaxInt32
			for range 2 {
				job.Steps = append(job.Steps, &cellpb.Step{Count: math.MaxInt32})
			}
			job.Steps[0].Count = math.MaxInt32
		},
	},
	{name: "negative cores", change: func(job *cellpb.Job) { job.Steps[0].Cpu = -1 }},
	{name: "negative memory", change: func(job *cellpb.Job) { job.Steps[0].MemoryMb = -1 }},
	{name: "negative accelerators", change: func(job *cellpb.Job) { job.Steps[0].Accelerators = -1 }},
	{name: "huge accelerators", change: func(job *cellpb.Job) { job.Steps[0].Accelerators = math.MaxInt64 }},
	{name: "negative estimate", change: func(job *cellpb.Job) { job.Steps[0].EstimateMs = -1 }},
	{name: "huge estimate", change: func(job *cellpb.Job) { job.Steps[0].EstimateMs = math.MaxInt64 }},
	{name: "negative spread", change: func(job *cellpb.Job) { job.Steps[0].Spread = -1 }},
	{name: "huge start", change: func(job *cellpb.Job) { job.StartMs = math.MaxInt64 }},
	{name: "estimates that overflow together", change: func(job *cellpb.Job) {
		for _, step := range job.GetSteps() {
			step.EstimateMs = maxRunTimeMs/2 + 1
		}
	}},
	{name: "stretch is no number", change: func(job *cellpb.Job) { job.Stretch = math.NaN() }},
	{name: "infinite stretch", change: func(job *cellpb.Job) { job.Stretch = math.Inf(1) }},
	{name: "negative stretch", change: func(job *cellpb.Job) { job.Stretch = -1 }},
	{name: "slack that overflows", change: func(job *cellpb.Job) { job.SlackMs = math.MaxInt64 / 1000 }},
	{name: "negative slack", change: func(job *cellpb.Job) { job.SlackMs = -1 }},
	{name: "negative priority", change: func(job *cellpb.Job) { job.Priority = -1 }},
	{name: "negative failures", change: func(job *cellpb.Job) { job.MaxFailures = -1 }},
	{name: "acceptance out of range", change: func(job *cellpb.Job) { job.AcceptedMs = math.MinInt64 }},
	{name: "negative interval", change: func(job *cellpb.Job) { job.IntervalMs = -1 }},
}

func TestValidateJob(t *testing.T) {
	require.NoError(t, ValidateJob(validJob()))
	for _, test := range invalidJobs {
		t.Run(test.name, func(t *testing.T) {
			job := validJob()
			test.change(job)
			require.Error(t, ValidateJob(job))
		})
	}
}

// Guards against a record that another version or a broken writer left in the log: it must be skipped, and what the log
// held before stays.
func TestApplySkipsInvalidJobRecord(t *testing.T) {
	for _, test := range invalidJobs {
		t.Run(test.name, func(t *testing.T) {
			job := validJob()
			test.change(job)
			record, err := JobRecord(job)
			require.NoError(t, err)
			state := NewState()
			_, err = state.Apply(record)
			require.Error(t, err)
			require.Empty(t, state.Jobs())
		})
	}
}
