package jobstream

import "time"

// slowAppend is how long an append may take before the log counts as unavailable, as for reads.
const slowAppend = time.Second

// WriterStatus tells how the writer's appends fare. Requests that may run without records use it to decide.
type WriterStatus struct {
	// Queued is the number of submissions that wait, Bytes their size.
	Queued int
	Bytes  int
	// Unsettled is the number of batches that may be in the log and were not folded.
	Unsettled int
	// Failing is the time of the first failure since the last confirmed append, zero without one; Err is the last
	// failure.
	Failing time.Time
	Err     error
	// Appending is the start of the append in progress, zero between appends.
	Appending time.Time
}

// Available says that the last append succeeded and none is in progress for longer than 1 s.
func (s WriterStatus) Available(now time.Time) bool {
	if !s.Failing.IsZero() {
		return false
	}
	return s.Appending.IsZero() || now.Sub(s.Appending) <= slowAppend
}
