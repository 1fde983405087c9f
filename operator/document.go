package operator

import (
	"time"

	"radishpath.example/radishpath/cell"
)

// Document is a published document.
type Document struct {
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
	// Operations contains the configuration and the zone evacuations read from the operators' log.
	Operations cell.Operations `json:"-"`
	// operationsPage is the operators' log as read. A publish succeeds only if the log has not grown since.
	operationsPage cell.Page
}

// Revision is one revision in the history.
type Revision struct {
	Revision    int64     `json:"revision"`
	Text        string    `json:"text"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"published"`
}

// PublishResult describes a document that was written to the store.
type PublishResult struct {
	Revision int64
	// Offset is the offset of the last record of the publish. Entries that have read beyond it have applied the revision.
	Offset int64
}

// PublishResult returns the revision of the document with the offset of the last record in the operators' log.
func (d Document) PublishResult() PublishResult {
	return PublishResult{
		Revision: d.Revision,
		Offset:   d.operationsPage.End - 1,
	}
}
