package cell

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// maxTasksInOneRecord is the number of tasks up to which a job's progress is one record. It leaves 524 bytes for each
	// task in a record of 262,144 bytes, the log's limit; a task with ten crashes of executors takes about 350.
	maxTasksInOneRecord = 500
	// TasksPerPart is the number of tasks in each part of the progress of a larger job. The end of a task writes one part.
	TasksPerPart = 250
	// maxParts is the number of parts of the largest job.
	maxParts = maxTasksPerJob / TasksPerPart
)

// ProgressParts returns the number of records that hold a job's progress. It depends only on what was submitted, so
// that a task stays in the same part while occurrences are opened.
func ProgressParts(job *cellpb.Job) int32 {
	tasks := int32(0)
	for _, step := range job.GetSteps() {
		tasks += step.GetCount()
	}
	tasks *= max(job.GetOccurrences(), 1)
	if tasks <= maxTasksInOneRecord {
		return 1
	}
	return (tasks + TasksPerPart - 1) / TasksPerPart
}

// splitProgressKey splits what follows the prefix of a progress key into the job's id and the number of the part; false
// if no progress is stored under such a key.
func splitProgressKey(rest string) (id string, part int32, ok bool) {
	id, suffix, hasPart := strings.Cut(rest, "/")
	if !hasPart {
		return id, 0, true
	}
	number, err := strconv.ParseInt(suffix, 10, 32)
	if err != nil || number < 1 || number >= maxParts || strconv.FormatInt(number, 10) != suffix {
		return "", 0, false
	}
	return id, int32(number), true
}

// progressKey returns the key of a part of a job's progress.
func progressKey(id string, part int32) string {
	if part == 0 {
		return progressPrefix + id
	}
	return progressPrefix + id + "/" + strconv.FormatInt(int64(part), 10)
}

// mergeProgress returns the progress that some parts hold together, with each task once; nil if there are no parts. A
// part takes precedence over a record of all tasks, which an earlier version left in place of part 0.
func mergeProgress(parts map[int32]*cellpb.Progress) *cellpb.Progress {
	first, hasFirst := parts[0]
	if len(parts) == 0 || (hasFirst && len(parts) == 1) {
		return first
	}
	merged := &cellpb.Progress{
		State:   first.GetState(),
		Begun:   first.GetBegun(),
		EndedMs: first.GetEndedMs(),
	}
	for part := range int32(maxParts) {
		merged.Id = cmp.Or(merged.GetId(), parts[part].GetId())
		merged.Tasks = append(merged.Tasks, parts[part].GetTasks()...)
	}
	if !ascending(merged.GetTasks()) {
		// Part 0 is moved to the end, because the first record of a task is kept if there are several.
		count := len(first.GetTasks())
		merged.Tasks = slices.Concat(merged.GetTasks()[count:], merged.GetTasks()[:count])
		slices.SortStableFunc(merged.Tasks, compareTasks)
		merged.Tasks = slices.CompactFunc(merged.Tasks, func(x, y *cellpb.Task) bool { return compareTasks(x, y) == 0 })
	}
	return merged
}

// ascending reports whether tasks are in order and no task appears twice.
func ascending(tasks []*cellpb.Task) bool {
	for i := range max(len(tasks)-1, 0) {
		if compareTasks(tasks[i], tasks[i+1]) >= 0 {
			return false
		}
	}
	return true
}

// compareTasks orders tasks by their ordinals in the job.
func compareTasks(x, y *cellpb.Task) int {
	return cmp.Or(
		cmp.Compare(x.GetOccurrence(), y.GetOccurrence()),
		cmp.Compare(x.GetStep(), y.GetStep()),
		cmp.Compare(x.GetIndex(), y.GetIndex()),
	)
}
