package cell

import (
	"errors"
	"fmt"
)

// LogRecord is a record of a keyed log. An empty value deletes the key.
type LogRecord struct {
	Key    string
	Value  []byte
	Offset int64
	// Err says why the record couldn't be decoded; nil if it could. Its other fields hold what is known of it.
	Err error
}

// Page is the result of one read.
type Page struct {
	Records []LogRecord
	// End is the offset of the next record appended to the log.
	End int64
}

// Fence identifies the writer of a fenced append. The log rejects an epoch lower than the highest one it has seen, and
// gives a retry with the same sequence number the result of the first attempt.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// ErrRejected means that the log rejected the call without side effects.
var ErrRejected = errors.New("the log rejected the call")

// ErrOutcomeUnknown means that the log may have executed the call, or may still do so.
var ErrOutcomeUnknown = errors.New("the outcome of the call is unknown")

// ErrFenced means that the log has seen a higher epoch; nothing was appended.
var ErrFenced = errors.New("fenced by a higher epoch")

// ErrCompacted means that the log no longer holds the requested records.
var ErrCompacted = errors.New("the log no longer holds the requested records")

// EndMismatchError means that the log doesn't end at the offset that a conditional append expected; nothing was
// appended.
type EndMismatchError struct {
	End int64
}

// Error implements error.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("the log ends at offset %d", e.End)
}

// SequenceError means that the log expects another sequence number; nothing was appended.
type SequenceError struct {
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects sequence number %d", e.Expected)
}
