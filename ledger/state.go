package ledger

import "radishpath.example/radishpath/peer/peerpb"

// State is what the log says about one job. Its messages are shared and must not be changed.
type State struct {
	// Job is the accepted job; of an ended job without its payload; nil when the id is void or its accept and carries
	// were not read.
	Job   *peerpb.Job
	Owner string
	// Generation is the offset of the accept or adopt that named the owner.
	Generation int64
	Started    bool
	// Agents are those of the last start that took effect; dropped when the job ends.
	Agents    []string
	Cancelled bool
	// End is nil while the job is live.
	End *peerpb.End
	// EndOffset is the offset of the batch that holds End.
	EndOffset int64
	// AnswerDropped says that End lacks the body of its answer, which the record at EndOffset still has.
	AnswerDropped bool
	Voided        bool
	// Restated is the offset of the last carry of a live job, zero before the first one. See "Truncated logs" in the
	// package comment.
	Restated int64
}

// Live says that the job was accepted and has not ended.
func (s State) Live() bool {
	return s.Job != nil && s.End == nil && !s.Voided
}
