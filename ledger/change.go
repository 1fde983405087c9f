package ledger

import "radishpath.example/radishpath/peer/peerpb"

// Change is the effect of one record.
type Change struct {
	// Job is the id of the job, empty for a claim.
	Job     string
	Record  *peerpb.Record
	Applied bool
	// Reason is set when Applied is false.
	Reason Reason
}
