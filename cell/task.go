package cell

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int32
	Step       int32
	Index      int32
}

// ParseTaskID parses the format of String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task id %q is not of the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	numbers := [3]int32{}
	for i, part := range parts[1:] {
		number, err := strconv.ParseInt(part, 10, 32)
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a non-negative integer", text, part)
		}
		numbers[i] = int32(number)
	}
	return TaskID{
		Job:        parts[0],
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}

// String formats the id as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
