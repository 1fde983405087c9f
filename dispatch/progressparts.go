package dispatch

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// partSums holds the hashes of the parts of a job's progress as they were last taken for storing, by number. What an
// earlier scheduler stored isn't known.
type partSums map[int32][sha256.Size]byte

// takeProgress returns the records to store for a job that has changed: its whole progress or, for a job whose progress
// is in parts, the parts that have changed since they were last taken, in the order in which they are to be stored.
func (j *job) takeProgress() []*cellpb.Progress {
	progress := j.progress()
	count := cell.ProgressParts(j.spec)
	if count == 1 {
		return []*cellpb.Progress{progress}
	}
	parts := j.splitProgress(progress, count)
	var changed []*cellpb.Progress
	for _, part := range parts[1:] {
		if j.notePart(part) {
			changed = append(changed, part)
		}
	}
	firstChanged := j.notePart(parts[0])
	switch {
	case !j.active():
		// Once the other parts lack the tasks that are done, the job must not count as active.
		return append([]*cellpb.Progress{parts[0]}, changed...)
	case firstChanged || len(changed) == 0:
		// An earlier version's record of all tasks is replaced last. A changed job is never left out of a batch, because
		// acknowledgements wait for that batch.
		return append(changed, parts[0])
	}
	return changed
}

// splitProgress splits a job's progress into parts. The part of a task follows from its ordinal in the job.
func (j *job) splitProgress(progress *cellpb.Progress, count int32) []*cellpb.Progress {
	parts := make([]*cellpb.Progress, count)
	for number := range parts {
		parts[number] = &cellpb.Progress{
			Id:   progress.GetId(),
			Part: int32(number),
		}
	}
	parts[0].State = progress.GetState()
	parts[0].Begun = progress.GetBegun()
	parts[0].EndedMs = progress.GetEndedMs()
	parts[0].Parts = count
	// firstOrdinals holds the ordinal of the first task of each step in an occurrence.
	firstOrdinals := make([]int32, 0, len(j.spec.GetSteps()))
	tasksPerOccurrence := int32(0)
	for _, step := range j.spec.GetSteps() {
		firstOrdinals = append(firstOrdinals, tasksPerOccurrence)
		tasksPerOccurrence += step.GetCount()
	}
	for _, t := range progress.GetTasks() {
		ordinal := t.GetOccurrence()*tasksPerOccurrence + firstOrdinals[t.GetStep()] + t.GetIndex()
		part := parts[ordinal/cell.TasksPerPart]
		part.Tasks = append(part.Tasks, t)
	}
	return parts
}

// notePart reports whether a part differs from what was last taken, and records that it is taken now.
func (j *job) notePart(part *cellpb.Progress) bool {
	previous, known := j.partSums[part.GetPart()]
	if !known && !j.restored && part.GetPart() > 0 && len(part.GetTasks()) == 0 {
		return false
	}
	encoded, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(part)
	if err != nil {
		// Whoever stores the part meets the same error and reports it.
		delete(j.partSums, part.GetPart())
		return true
	}
	sum := sha256.Sum256(encoded)
	j.partSums[part.GetPart()] = sum
	return !known || sum != previous
}
