package jobstream

import (
	"context"
	"time"
)

// Record is one record of the log.
type Record struct {
	Offset int64
	Data   []byte
}

// AppendFunc appends one record and returns its offset.
type AppendFunc func(ctx context.Context, data []byte) (int64, error)

// ReadFunc reads up to limit records from an offset and waits up to wait for the first. First is the first offset
// that the log still has, next the one after its last record.
type ReadFunc func(ctx context.Context, from int64, limit int, wait time.Duration) (
	first, next int64, records []Record, err error)
