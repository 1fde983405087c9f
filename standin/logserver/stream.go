package logserver

import (
	"time"

	"radishpath.example/radishpath/logservice"
)

// stream is one sequence of records.
type stream struct {
	// first is the offset of records[0], or the next offset if there are no records.
	first   int64
	records [][]byte
	times   []time.Time
	// changed is closed at the next append or change of faults.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{
		changed: make(chan struct{}),
	}
}

// append adds a record and returns its offset.
func (s *stream) append(now time.Time, data []byte) int64 {
	offset := s.next()
	s.records = append(s.records, data)
	s.times = append(s.times, now)
	s.notify()
	return offset
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.records))
}

// notify wakes the readers that wait.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page returns at most limit records from the offset on.
func (s *stream) page(from int64, limit int) logservice.Page {
	page := logservice.Page{
		First:   s.first,
		Next:    s.next(),
		Records: []logservice.Record{},
	}
	for offset := max(from, s.first); offset < page.Next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logservice.Record{
			Offset: offset,
			Data:   s.records[offset-s.first],
		})
	}
	return page
}

// retain drops records that are older than age or beyond the newest keep; zero turns a limit off.
func (s *stream) retain(now time.Time, age time.Duration, keep int) {
	drop := 0
	if keep > 0 {
		drop = max(0, len(s.records)-keep)
	}
	for age > 0 && drop < len(s.times) && now.Sub(s.times[drop]) > age {
		drop++
	}
	s.truncate(s.first + int64(drop))
}

// truncate drops the records before the offset.
func (s *stream) truncate(before int64) {
	drop := min(max(before-s.first, 0), int64(len(s.records)))
	s.first += drop
	s.records = s.records[drop:]
	s.times = s.times[drop:]
}
