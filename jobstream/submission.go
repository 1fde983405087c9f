package jobstream

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

// exposure says whether a submission can be in the log.
type exposure int

const (
	// absent means that the submission is definitely not in the log.
	absent exposure = iota
	// exposed means that it may be in the log.
	exposed
	// withdrawn means that the submitter gave up while it was absent.
	withdrawn
)

// Result is the outcome of records that are in the log.
type Result struct {
	// Offset is that of the batch with the records.
	Offset int64
	// Changes has one element per record.
	Changes []ledger.Change
}

// outcome ends a submission.
type outcome struct {
	result Result
	err    error
}

// submission is what one call of Submit or Carry hands to the writer's loop. Its fields are guarded by Writer.mu.
type submission struct {
	// encoded are the records in their wire form.
	encoded  [][]byte
	bytes    int
	arrived  time.Time
	exposure exposure
	// carry are the jobs to restate; the records are then written when the batch is built.
	carry []string
	// done receives one outcome.
	done chan outcome
}

func newSubmission(arrived time.Time, records []*peerpb.Record, carry []string) (*submission, error) {
	s := &submission{
		arrived: arrived,
		carry:   carry,
		done:    make(chan outcome, 1),
	}
	if err := s.encode(records); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *submission) encode(records []*peerpb.Record) error {
	s.encoded = nil
	s.bytes = 0
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			return fmt.Errorf("encode record: %w: %w", ErrNotAppended, err)
		}
		s.encoded = append(s.encoded, data)
		s.bytes += len(data)
	}
	return nil
}

// finish ends the submission; only the first outcome counts.
func (s *submission) finish(end outcome) {
	select {
	case s.done <- end:
	default:
	}
}

// restate writes the carries of the jobs that are live.
func (s *submission) restate(jobs *ledger.Ledger) error {
	var records []*peerpb.Record
	for _, id := range s.carry {
		if record := jobs.Carry(id); record != nil {
			records = append(records, record)
		}
	}
	return s.encode(records)
}
