package cell

import (
	"fmt"
	"maps"
	"strings"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
)

// Keys and key prefixes of the cell's log.
const (
	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
	memberPrefix   = "entry/"
)

// ClaimKey is the key of the scheduler's claim.
const ClaimKey = "scheduler"

// JobState is the state of one job according to the log.
type JobState struct {
	Job       *cellpb.Job
	Cancelled bool
	// Progress is nil until the scheduler records progress.
	Progress *cellpb.Progress
}

// State returns the job's state as reported to callers.
func (j JobState) State() cellpb.State {
	switch state := j.Progress.GetState(); {
	case state == cellpb.State_STATE_DONE, state == cellpb.State_STATE_FAILED, state == cellpb.State_STATE_CANCELLED:
		return state
	case j.Cancelled:
		return cellpb.State_STATE_CANCELLED
	case j.Progress.GetBegun():
		return cellpb.State_STATE_RUNNING
	}
	return cellpb.State_STATE_QUEUED
}

// storedJob holds the records of one job.
type storedJob struct {
	job       *cellpb.Job
	cancelled bool
	// parts holds the parts of the job's progress by number.
	parts map[int32]*cellpb.Progress
	// merged is the progress of all parts; it isn't valid while stale is set. It is never changed, because readers keep
	// it.
	merged *cellpb.Progress
	stale  bool
}

// State is the state of a cell, built by applying the records of the cell's log. It isn't safe for concurrent use.
type State struct {
	jobs    map[string]*storedJob
	claim   *cellpb.Claim
	members map[string]string
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{
		jobs:    map[string]*storedJob{},
		claim:   &cellpb.Claim{},
		members: map[string]string{},
	}
}

// JobRecord returns the record that stores a job.
func JobRecord(job *cellpb.Job) (LogRecord, error) {
	return newRecord(jobPrefix+job.GetId(), &cellpb.Record{Body: &cellpb.Record_Job{Job: job}})
}

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) (LogRecord, error) {
	return newRecord(cancelPrefix+id, &cellpb.Record{Body: &cellpb.Record_Cancel{Cancel: &cellpb.Cancel{Id: id}}})
}

// ProgressRecord returns the record of a job's progress or of a part of it. It deletes a part without tasks.
func ProgressRecord(progress *cellpb.Progress) (LogRecord, error) {
	key := progressKey(progress.GetId(), progress.GetPart())
	if progress.GetPart() > 0 && len(progress.GetTasks()) == 0 {
		return LogRecord{Key: key}, nil
	}
	return newRecord(key, &cellpb.Record{Body: &cellpb.Record_Progress{Progress: progress}})
}

// ClaimRecord returns the record of a claim of leadership.
func ClaimRecord(claim *cellpb.Claim) (LogRecord, error) {
	return newRecord(ClaimKey, &cellpb.Record{Body: &cellpb.Record_Claim{Claim: claim}})
}

// MemberRecord returns the record of the address of an entry process.
func MemberRecord(member *cellpb.Member) (LogRecord, error) {
	return newRecord(memberPrefix+member.GetId(), &cellpb.Record{Body: &cellpb.Record_Member{Member: member}})
}

// DeleteRecords returns the records that delete a job. The job's own key is deleted first, because a job without
// progress would start from the beginning.
func DeleteRecords(job *cellpb.Job) []LogRecord {
	id := job.GetId()
	records := []LogRecord{
		{Key: jobPrefix + id},
		{Key: cancelPrefix + id},
	}
	for part := range ProgressParts(job) {
		records = append(records, LogRecord{Key: progressKey(id, part)})
	}
	return records
}

func newRecord(key string, message *cellpb.Record) (LogRecord, error) {
	value, err := proto.Marshal(message)
	if err != nil {
		return LogRecord{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return LogRecord{
		Key:   key,
		Value: value,
	}, nil
}

// Apply applies a record to the state and returns the id of the job that it concerns, if any. A record that can't be
// decoded, or that doesn't belong under its key, changes nothing.
func (s *State) Apply(record LogRecord) (string, error) {
	if record.Err != nil {
		return "", fmt.Errorf("record %q at offset %d: %w", record.Key, record.Offset, record.Err)
	}
	if record.Key == "" {
		return "", fmt.Errorf("record at offset %d: no key", record.Offset)
	}
	prefix, id := splitKey(record.Key)
	if len(record.Value) == 0 {
		return s.deleteKey(prefix, id), nil
	}
	message := &cellpb.Record{}
	if err := proto.Unmarshal(record.Value, message); err != nil {
		return "", fmt.Errorf("decode record %q at offset %d: %w", record.Key, record.Offset, err)
	}
	if err := validateRecord(record, message); err != nil {
		return "", fmt.Errorf("record %q at offset %d: %w", record.Key, record.Offset, err)
	}
	return s.applyRecord(id, message), nil
}

// Claim returns the claim with the highest epoch.
func (s *State) Claim() *cellpb.Claim {
	return s.claim
}

// Job returns the state of a job; false if the log holds no job of that id.
func (s *State) Job(id string) (JobState, bool) {
	stored, ok := s.jobs[id]
	if !ok || stored.job == nil {
		return JobState{}, false
	}
	return stored.jobState(), true
}

// Jobs returns the state of every job.
func (s *State) Jobs() []JobState {
	jobs := make([]JobState, 0, len(s.jobs))
	for _, stored := range s.jobs {
		if stored.job != nil {
			jobs = append(jobs, stored.jobState())
		}
	}
	return jobs
}

// Members returns the addresses of the entry processes by id.
func (s *State) Members() map[string]string {
	return maps.Clone(s.members)
}

// Pending returns the number of jobs of a queue that haven't begun.
func (s *State) Pending(queue string) int {
	count := 0
	for _, stored := range s.jobs {
		if stored.job.GetQueue() == queue && stored.state() == cellpb.State_STATE_QUEUED {
			count++
		}
	}
	return count
}

// applyRecord applies a valid record and returns the id of the job that it concerns, if any.
func (s *State) applyRecord(id string, message *cellpb.Record) string {
	switch body := message.GetBody().(type) {
	case *cellpb.Record_Claim:
		if body.Claim.GetEpoch() >= s.claim.GetEpoch() {
			s.claim = body.Claim
		}
		return ""
	case *cellpb.Record_Member:
		s.members[id] = body.Member.GetAddress()
		return ""
	case *cellpb.Record_Job:
		if stored := s.getOrCreateJob(id); stored.job == nil {
			stored.job = body.Job
		}
	case *cellpb.Record_Cancel:
		s.getOrCreateJob(id).cancelled = true
	case *cellpb.Record_Progress:
		id = body.Progress.GetId()
		stored := s.getOrCreateJob(id)
		stored.parts[body.Progress.GetPart()] = body.Progress
		stored.stale = true
	}
	return id
}

// deleteKey deletes what is stored under a key, and returns the id of the job that it concerns, if any.
func (s *State) deleteKey(prefix, id string) string {
	part := int32(0)
	switch prefix {
	case memberPrefix:
		delete(s.members, id)
		return id
	case progressPrefix:
		var ok bool
		if id, part, ok = splitProgressKey(id); !ok {
			return ""
		}
	}
	stored, ok := s.jobs[id]
	if !ok {
		return id
	}
	switch prefix {
	case jobPrefix:
		stored.job = nil
	case cancelPrefix:
		stored.cancelled = false
	case progressPrefix:
		delete(stored.parts, part)
		stored.stale = true
	}
	if stored.job == nil && !stored.cancelled && len(stored.parts) == 0 {
		delete(s.jobs, id)
	}
	return id
}

func (s *State) getOrCreateJob(id string) *storedJob {
	stored, ok := s.jobs[id]
	if !ok {
		stored = &storedJob{
			parts: map[int32]*cellpb.Progress{},
		}
		s.jobs[id] = stored
	}
	return stored
}

// jobState returns the state of the job with the progress of all parts.
func (j *storedJob) jobState() JobState {
	if j.stale {
		j.merged = mergeProgress(j.parts)
		j.stale = false
	}
	return JobState{
		Job:       j.job,
		Cancelled: j.cancelled,
		Progress:  j.merged,
	}
}

// state returns the job's state as reported to callers, which part 0 holds.
func (j *storedJob) state() cellpb.State {
	return JobState{
		Job:       j.job,
		Cancelled: j.cancelled,
		Progress:  j.parts[0],
	}.State()
}

// IsMemberKey reports whether a key is that of an entry process.
func IsMemberKey(key string) bool {
	return strings.HasPrefix(key, memberPrefix)
}

// IsSchedulerKey reports whether a key is written only by the scheduler.
func IsSchedulerKey(key string) bool {
	return key == ClaimKey || strings.HasPrefix(key, progressPrefix)
}
