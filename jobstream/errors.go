package jobstream

import "errors"

// ErrNotAppended marks records that are not in the log and will not be.
var ErrNotAppended = errors.New("records not appended")

// ErrUnknown marks records that may be in the log or may still appear there.
var ErrUnknown = errors.New("outcome of the append is unknown")

// ErrFull marks records that were not queued because the queue is full; it comes with ErrNotAppended.
var ErrFull = errors.New("queue of records is full")

// errLogShrunk is the state of a follower whose log ends below what was read before.
var errLogShrunk = errors.New("log ends below an offset that was read before")
