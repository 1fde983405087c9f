package executorserver

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// An executor may restart after the end of a task was reported and stored, but before it was acknowledged. The record
// must still count the task as done, or a correctly completed job is reported as a violation (soak seed 36).
func TestRecordAfterExecutorRestart(t *testing.T) {
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
			record := NewRecord(clockwork.NewFakeClock())
			start := RunStart{
				Task:     "a",
				Run:      1,
				Executor: "i-0",
			}
			record.recordStart(start)
			record.recordEnd("a", endDone, "i-0", 1)
			record.recordLostEnd("a", test.reported)
			assert.Equal(t, test.done, record.Done("a"))
			record.recordStart(start)
			assert.Empty(t, record.Broken(), "the task may run again")
			record.recordEnd("a", endDone, "i-0", 2)
			record.recordStart(start)
			assert.Len(t, record.Broken(), 1, "a run after the second end is a violation")
		})
	}
}
