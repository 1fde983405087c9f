package logservice

// Page is the answer to a read of a stream.
type Page struct {
	// First is the offset of the oldest record that the log retains, or Next if it retains none. A reader whose
	// offset is below First has missed records.
	First int64 `json:"first"`
	// Next is the offset after the log's last record, which may be beyond this page.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}
