package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJobHistoryFields guards against the end of a late job whose log doesn't tell what delayed it.
func TestJobHistoryFields(t *testing.T) {
	tests := []struct {
		name  string
		apply func(h *jobHistory)
		want  []any
	}{
		{
			name:  "never ordered",
			apply: func(*jobHistory) {},
			want:  []any{"known", int64(9000), "runs", 0, "outcomes", "", "wasted", int64(0)},
		},
		{
			name: "preempted and run again",
			apply: func(h *jobHistory) {
				h.addRun(3 * time.Second)
				h.addOutcome("stop: preempted", 0)
				h.addOutcome("stopped", 12.7)
				h.addRun(5 * time.Second)
				h.addOutcome("done", 0)
			},
			want: []any{
				"known", int64(9000), "runs", 2, "outcomes", "done 1, stop: preempted 1, stopped 1", "wasted", int64(12),
				"ordered", int64(2000), "last", int64(4000),
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := jobHistory{}
			test.apply(&history)
			require.Equal(t, test.want, history.fields(time.Second, 10*time.Second))
		})
	}
}
