package harness

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
)

const pageRecords = 1000

// Jobs returns the jobs that the log's stream "jobs" accepts or carries, by id; of several accepts of an id, the first.
func (l *Log) Jobs(ctx context.Context) (map[string]*peerpb.Job, error) {
	jobs := map[string]*peerpb.Job{}
	from := int64(0)
	for {
		page, err := l.Client.Read(ctx, "jobs", from, pageRecords, 0)
		if err != nil {
			return nil, fmt.Errorf("read jobs: %w", err)
		}
		for _, record := range page.Records {
			if err = addJobs(jobs, record); err != nil {
				return nil, err
			}
			from = record.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return jobs, nil
		}
	}
}

func addJobs(jobs map[string]*peerpb.Job, record logservice.Record) error {
	batch := &peerpb.Batch{}
	if err := proto.Unmarshal(record.Data, batch); err != nil {
		return fmt.Errorf("decode record %d of jobs: %w", record.Offset, err)
	}
	for _, entry := range batch.GetRecords() {
		job := entry.GetAccept().GetJob()
		if job == nil {
			job = entry.GetCarry().GetJob()
		}
		if _, known := jobs[job.GetId()]; job != nil && !known {
			jobs[job.GetId()] = job
		}
	}
	return nil
}

// Members returns the number of members of each job.
func Members(jobs map[string]*peerpb.Job) map[string]int32 {
	members := map[string]int32{}
	for id, job := range jobs {
		members[id] = max(1, job.GetMembers())
	}
	return members
}

// NonIdempotent returns the ids of the jobs that must not run twice.
func NonIdempotent(jobs map[string]*peerpb.Job) map[string]bool {
	ids := map[string]bool{}
	for id, job := range jobs {
		if !job.GetIdempotent() {
			ids[id] = true
		}
	}
	return ids
}
