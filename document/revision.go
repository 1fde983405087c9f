package document

import "time"

// Revision is one publish as the history shows it.
type Revision struct {
	// Revision is the offset of the publish plus 1, whether or not it took effect.
	Revision  int64
	Author    string
	Published time.Time
	Applied   bool
	// Reason says why the publish did not take effect.
	Reason string
	// Text is empty when the publish did not take effect.
	Text string
}
