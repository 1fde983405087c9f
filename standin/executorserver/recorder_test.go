package executorserver

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// An executor may restart after the end of a task was reported and stored, but before it was acknowledged. The recorder
// must still count the task as done, or a correctly completed job is reported as a violation (soak seed 36).
func TestRecorderAfterExecutorRestart(t *testing.T) {
	for _, test := range []struct {
		name     string
		reported bool
		done     bool
	}{
		{
			name:     "end was reported",
			reported: true,
			done:     true,
		},
		{
			name: "end was not reported",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			recorder := NewRecorder(clockwork.NewFakeClock())
			start := RunStart{
				Task:     "a",
				Run:      1,
				Executor: "i-0",
			}
			recorder.recordStart(start)
			recorder.recordEnd("a", endDone, "i-0", 1)
			recorder.recordLostEnd("a", test.reported)
			assert.Equal(t, test.done, recorder.IsDone("a"))
			recorder.recordStart(start)
			assert.Empty(t, recorder.Violations(), "the task may run again")
			recorder.recordEnd("a", endDone, "i-0", 2)
			recorder.recordStart(start)
			assert.Len(t, recorder.Violations(), 1, "a run after the second end is a violation")
		})
	}
}
