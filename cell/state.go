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

// State is the state of a cell, built by applying the records of the cell's log. It isn't safe for concurrent use.
type State struct {
	jobs    map[string]*JobState
	claim   *cellpb.Claim
	members map[string]string
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{
		jobs:    map[string]*JobState{},
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

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(progress *cellpb.Progress) (LogRecord, error) {
	return newRecord(progressPrefix+progress.GetId(), &cellpb.Record{Body: &cellpb.Record_Progress{Progress: progress}})
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
func DeleteRecords(id string) []LogRecord {
	return []LogRecord{
		{Key: jobPrefix + id},
		{Key: cancelPrefix + id},
		{Key: progressPrefix + id},
	}
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
		s.deleteKey(prefix, id)
		return id, nil
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
	jobState, ok := s.jobs[id]
	if !ok || jobState.Job == nil {
		return JobState{}, false
	}
	return *jobState, true
}

// Jobs returns the state of every job.
func (s *State) Jobs() []JobState {
	jobs := make([]JobState, 0, len(s.jobs))
	for _, jobState := range s.jobs {
		if jobState.Job != nil {
			jobs = append(jobs, *jobState)
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
	for _, jobState := range s.jobs {
		if jobState.Job.GetQueue() == queue && jobState.State() == cellpb.State_STATE_QUEUED {
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
		if jobState := s.getOrCreateJob(id); jobState.Job == nil {
			jobState.Job = body.Job
		}
	case *cellpb.Record_Cancel:
		s.getOrCreateJob(id).Cancelled = true
	case *cellpb.Record_Progress:
		s.getOrCreateJob(id).Progress = body.Progress
	}
	return id
}

func (s *State) deleteKey(prefix, id string) {
	if prefix == memberPrefix {
		delete(s.members, id)
		return
	}
	jobState, ok := s.jobs[id]
	if !ok {
		return
	}
	switch prefix {
	case jobPrefix:
		jobState.Job = nil
	case cancelPrefix:
		jobState.Cancelled = false
	case progressPrefix:
		jobState.Progress = nil
	}
	if jobState.Job == nil && !jobState.Cancelled && jobState.Progress == nil {
		delete(s.jobs, id)
	}
}

func (s *State) getOrCreateJob(id string) *JobState {
	jobState, ok := s.jobs[id]
	if !ok {
		jobState = &JobState{}
		s.jobs[id] = jobState
	}
	return jobState
}

// IsMemberKey reports whether a key is that of an entry process.
func IsMemberKey(key string) bool {
	return strings.HasPrefix(key, memberPrefix)
}

// IsSchedulerKey reports whether a key is written only by the scheduler.
func IsSchedulerKey(key string) bool {
	return key == ClaimKey || strings.HasPrefix(key, progressPrefix)
}
