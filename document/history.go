package document

import (
	"slices"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxHistory and maxHistoryBytes bound the memory of the history; an entry has 256 MB in all.
	maxHistory      = 64
	maxHistoryBytes = 8 << 20
)

// history keeps the latest publishes, the oldest first.
type history struct {
	revisions []Revision
	bytes     int
}

// add records a publish, or replaces what was recorded for the same revision.
func (h *history) add(offset int64, record *peerpb.DocumentRecord, applied bool, reason string) {
	revision := Revision{
		Revision:  offset + 1,
		Author:    record.GetAuthor(),
		Published: publishedAt(record),
		Applied:   applied,
		Reason:    reason,
	}
	if applied {
		revision.Text = record.GetText()
	}
	h.insert(revision)
}

// insert keeps the order of revisions and drops the oldest beyond the limits, but never the latest one.
func (h *history) insert(revision Revision) {
	at, found := slices.BinarySearchFunc(h.revisions, revision.Revision, func(r Revision, target int64) int {
		return int(r.Revision - target)
	})
	if found {
		h.bytes -= len(h.revisions[at].Text)
		h.revisions[at] = revision
	} else {
		h.revisions = slices.Insert(h.revisions, at, revision)
	}
	h.bytes += len(revision.Text)
	for len(h.revisions) > 1 && (len(h.revisions) > maxHistory || h.bytes > maxHistoryBytes) {
		h.bytes -= len(h.revisions[0].Text)
		h.revisions = slices.Delete(h.revisions, 0, 1)
	}
}

// learn records a revision that a carry or a peer stated, unless the history has it.
func (h *history) learn(current state) {
	for _, known := range h.revisions {
		if known.Revision == current.revision && known.Applied {
			return
		}
	}
	h.insert(Revision{
		Revision: current.revision,
		Applied:  true,
		Text:     current.text,
	})
}

func publishedAt(record *peerpb.DocumentRecord) time.Time {
	if record.GetPublished() == nil {
		return time.Time{}
	}
	return record.GetPublished().AsTime()
}
