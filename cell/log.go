package cell

import (
	"errors"
	"fmt"
)

// Entry is one record of a keyed log. An empty value drops the key.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// End is the offset that the next record of the log will get.
	End int64
}

// Fence identifies the writer of a fenced append. The log refuses an epoch lower than one that it has seen, and answers
// a repeat of a sequence number as it answered the first time.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// ErrRefused means that the log did nothing.
var ErrRefused = errors.New("the log refused the call")

// ErrUnknown means that the log may or may not have carried out the call, or may do so later.
var ErrUnknown = errors.New("the outcome of the call is unknown")

// ErrFenced means that a higher epoch was seen; nothing was appended.
var ErrFenced = errors.New("fenced by a higher epoch")

// ErrTruncated means that the records asked for were dropped.
var ErrTruncated = errors.New("the records were dropped")

// MovedError means that a conditional append found the log at another end; nothing was appended.
type MovedError struct {
	End int64
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("the log ends at %d", e.End)
}

// SequenceError means that the log expects another sequence number; nothing was appended.
type SequenceError struct {
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects sequence number %d", e.Expected)
}
