package jobstream

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

// recordsField is the number of the field records in peerpb.Batch.
const recordsField = 3

// batch is a group of submissions that is appended as one record of the log.
type batch struct {
	sequence    uint64
	submissions []*submission
	data        []byte
	// unknown says that an attempt ended without a definite refusal.
	unknown bool
	// settled is closed when the batch was folded or given up.
	settled chan struct{}
	folded  bool
	// offset is that of a confirmed append, or -1.
	offset int64
}

func newBatch(writer string, sequence uint64, submissions []*submission) (*batch, error) {
	data, err := proto.Marshal(&peerpb.Batch{
		Writer:   writer,
		Sequence: sequence,
	})
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w: %w", ErrNotAppended, err)
	}
	for _, s := range submissions {
		for _, record := range s.encoded {
			data = protowire.AppendTag(data, recordsField, protowire.BytesType)
			data = protowire.AppendBytes(data, record)
		}
	}
	return &batch{
		sequence:    sequence,
		submissions: submissions,
		data:        data,
		settled:     make(chan struct{}),
		offset:      -1,
	}, nil
}

// fail ends every submission with an error.
func (b *batch) fail(err error) {
	for _, s := range b.submissions {
		s.finish(outcome{
			err: err,
		})
	}
	close(b.settled)
}

// fold ends every submission with its part of the changes.
func (b *batch) fold(offset int64, changes []ledger.Change) {
	for _, s := range b.submissions {
		count := len(s.encoded)
		s.finish(outcome{
			result: Result{
				Offset:  offset,
				Changes: changes[:count:count],
			},
		})
		changes = changes[count:]
	}
	b.folded = true
	close(b.settled)
}

// isSettled says that the batch was folded or given up.
func (b *batch) isSettled() bool {
	select {
	case <-b.settled:
		return true
	default:
		return false
	}
}
