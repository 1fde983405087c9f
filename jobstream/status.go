package jobstream

import "time"

// slowRead is the limit of design section 4: a read slower than 1 s counts as the log being unavailable.
const slowRead = time.Second

// Status tells how current a follower is.
type Status struct {
	// Current is the start of the last read that reached the end of the log; zero before the first one.
	Current time.Time
	// First is the first offset of the log, Next the one after the last folded record.
	First int64
	Next  int64
	// Skipped counts the offsets that were truncated before they were read, those before the first read included.
	Skipped int64
	// Err is that of the last read, nil if it succeeded.
	Err error
	// Slow says that the last read took longer than 1 s.
	Slow bool
	// Reading is the start of the read in progress; zero between reads.
	Reading time.Time
}

// Available says that the log can be read: the last read succeeded within 1 s and none is in progress for longer.
func (s Status) Available(now time.Time) bool {
	if s.Err != nil || s.Slow || s.Current.IsZero() {
		return false
	}
	return s.Reading.IsZero() || now.Sub(s.Reading) <= slowRead
}
