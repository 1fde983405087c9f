package harness

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
)

// Limits of the platform's store, as the users' pages give them: the bytes of a record and of the records of one call.
const (
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
)

// limitRecords returns a handler that rejects appends over the store's limits.
func (h *Harness) limitRecords(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		largest, total := recordSizes(body)
		if h.largestRecord.Load() < int64(largest) {
			h.largestRecord.Store(int64(largest))
		}
		if largest > maxRecordBytes || total > maxCallBytes {
			h.rejectedAppends.Add(1)
			h.config.Record.AddSilently("the store rejected an append with " +
				"status 413: a record is over recordBytes, or the call over callBytes")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// recordSizes returns the size of the largest record of an append and that of all its records.
func recordSizes(body []byte) (largest, total int) {
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		total += size
		body = body[min(4+size, len(body)):]
	}
	return largest, total
}
