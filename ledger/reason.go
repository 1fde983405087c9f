package ledger

// Reason tells why a record had no effect. It is empty when the record took effect.
type Reason string

const (
	// ReasonAlreadyAccepted is given for an accept or a void of an id that was accepted before.
	ReasonAlreadyAccepted Reason = "id was accepted before"
	// ReasonAlreadyCancelled is given for a second cancel.
	ReasonAlreadyCancelled Reason = "job is cancelled already"
	// ReasonAlreadyStarted is given for a second start of a non-idempotent job.
	ReasonAlreadyStarted Reason = "non-idempotent job was started before"
	// ReasonCarryBase is given for a carry whose writer's previous batch this reader has not folded.
	ReasonCarryBase Reason = "previous batch of the carry's writer was not read"
	// ReasonDuplicateBatch is given for every record of a batch that was folded before.
	ReasonDuplicateBatch Reason = "batch was read before"
	// ReasonEnded is given for a record about a job that has ended.
	ReasonEnded Reason = "job has ended"
	// ReasonGeneration is given for a record of an owner whose generation is not the current one.
	ReasonGeneration Reason = "generation is not the current one"
	// ReasonInvalid is given for a record without a kind or without an id.
	ReasonInvalid Reason = "record is incomplete"
	// ReasonMayHaveRun is given for an end that claims that nothing ran, after a start of a non-idempotent job.
	ReasonMayHaveRun Reason = "job was started and may have run"
	// ReasonUnknownJob is given for a record about a job of which neither accept nor carry was read.
	ReasonUnknownJob Reason = "job is unknown"
	// ReasonVoid is given for an accept of a void id and for a second void.
	ReasonVoid Reason = "id is void"
)
