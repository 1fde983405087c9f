package mirror

// maxReportedOffsets bounds the memory for the offsets of records that were reported as invalid.
const maxReportedOffsets = 1000

// reportedOffsets holds the offsets of the records of one log that were reported as invalid. A reload reads the newest
// record of each key again, and a record is reported only once.
type reportedOffsets struct {
	offsets map[int64]bool
}

func newReportedOffsets() reportedOffsets {
	return reportedOffsets{
		offsets: map[int64]bool{},
	}
}

// add adds an offset and reports whether it is new. If there are too many, all earlier ones are forgotten.
func (r reportedOffsets) add(offset int64) bool {
	if r.offsets[offset] {
		return false
	}
	if len(r.offsets) >= maxReportedOffsets {
		clear(r.offsets)
	}
	r.offsets[offset] = true
	return true
}
