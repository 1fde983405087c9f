package simulation

import (
	"context"
	"sync"

	"radishpath.example/radishpath/cell"
)

// cachedResults is the number of results of a producer that are kept for repeated appends.
const cachedResults = 5

// cellLog is a keyed log in memory.
type cellLog struct {
	mu      sync.Mutex
	records []cell.LogRecord
	// epoch, nextSequence and offsets are the state of the only producer that fences its appends.
	epoch        int64
	nextSequence int64
	offsets      map[int64]int64
	// appended is closed and replaced by each append.
	appended chan struct{}
}

func newCellLog() *cellLog {
	return &cellLog{
		offsets:  map[int64]int64{},
		appended: make(chan struct{}),
	}
}

func (l *cellLog) append(records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if fence != nil {
		offset, repeated, err := l.checkFence(*fence)
		if err != nil || repeated {
			return offset, err
		}
	}
	if expectedEnd >= 0 && expectedEnd != end {
		return 0, &cell.EndMismatchError{
			End: end,
		}
	}
	for _, record := range records {
		record.Offset = int64(len(l.records))
		l.records = append(l.records, record)
	}
	if fence != nil {
		l.nextSequence = fence.Sequence + 1
		l.offsets[fence.Sequence] = end
		delete(l.offsets, fence.Sequence-cachedResults)
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return end, nil
}

func (l *cellLog) checkFence(fence cell.Fence) (int64, bool, error) {
	if fence.Epoch > l.epoch {
		l.epoch = fence.Epoch
		l.nextSequence = fence.Sequence
		l.offsets = map[int64]int64{}
		return 0, false, nil
	}
	if fence.Epoch < l.epoch {
		return 0, false, cell.ErrFenced
	}
	if offset, ok := l.offsets[fence.Sequence]; ok {
		return offset, true, nil
	}
	if fence.Sequence != l.nextSequence {
		return 0, false, &cell.SequenceError{
			Expected: l.nextSequence,
		}
	}
	return 0, false, nil
}

// newest returns the newest record of each key.
func (l *cellLog) newest() cell.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := map[string]int{}
	for i, record := range l.records {
		latest[record.Key] = i
	}
	page := cell.Page{
		End: int64(len(l.records)),
	}
	for i, record := range l.records {
		if latest[record.Key] == i && len(record.Value) > 0 {
			page.Records = append(page.Records, record)
		}
	}
	return page
}

// read returns the records from an offset on, once there are any or ctx has ended.
func (l *cellLog) read(ctx context.Context, from int64) cell.Page {
	for {
		l.mu.Lock()
		page := cell.Page{
			Records: append([]cell.LogRecord(nil), l.records[from:]...),
			End:     int64(len(l.records)),
		}
		appended := l.appended
		l.mu.Unlock()
		if len(page.Records) > 0 {
			return page
		}
		select {
		case <-ctx.Done():
			return page
		case <-appended:
		}
	}
}
