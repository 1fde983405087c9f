package ledger

import "radishpath.example/radishpath/peer/peerpb"

// pendingRecord is a record about a job that is not known yet.
type pendingRecord struct {
	offset int64
	record *peerpb.Record
}

// entry is a job that is live, void or not known yet.
type entry struct {
	state State
	// known says that state is complete: the accept was read, or a carry with every record since it was written.
	known bool
	// pending are the records read so far while known is false.
	pending []pendingRecord
	// last is the offset of the last batch with a record about the job.
	last int64
}

func (e *entry) accept(offset int64, record *peerpb.Record) Reason {
	if e.state.Voided {
		return ReasonVoid
	}
	for _, p := range e.pending {
		if p.record.GetCancel() == nil {
			// Only a job that was accepted below the first offset read can have such a record.
			return ReasonAlreadyAccepted
		}
	}
	e.state = State{
		Job:        record.GetAccept().GetJob(),
		Owner:      record.GetAccept().GetOwner(),
		Generation: offset,
	}
	e.settle()
	return ""
}

func (e *entry) adopt(offset int64, adopt *peerpb.Adopt) Reason {
	// Several records of one batch share its offset. A second adopt in the batch that set the generation must not
	// take effect.
	if adopt.GetGeneration() != e.state.Generation || e.state.Generation == offset {
		return ReasonGeneration
	}
	e.state.Generation = offset
	e.state.Owner = adopt.GetOwner()
	return ""
}

// apply folds one record other than a claim. The based parameter says that a carry may be used.
func (e *entry) apply(offset int64, record *peerpb.Record, based bool) Reason {
	e.last = offset
	if e.known {
		return e.applyKnown(offset, record)
	}
	switch {
	case record.GetAccept() != nil:
		return e.accept(offset, record)
	case record.GetCarry() != nil && based:
		return e.carry(offset, record.GetCarry())
	}
	reason := e.reasonUnknown(record)
	e.pending = append(e.pending, pendingRecord{
		offset: offset,
		record: withoutAnswer(record),
	})
	if record.GetVoid() != nil {
		e.state.Voided = true
	}
	return reason
}

func (e *entry) applyKnown(offset int64, record *peerpb.Record) Reason {
	if e.state.End != nil {
		return reasonEnded(record)
	}
	if e.state.Voided {
		return reasonVoided(record)
	}
	switch kind := record.GetKind().(type) {
	case *peerpb.Record_Accept, *peerpb.Record_Void:
		return ReasonAlreadyAccepted
	case *peerpb.Record_Adopt:
		return e.adopt(offset, kind.Adopt)
	case *peerpb.Record_Cancel:
		return e.cancel()
	case *peerpb.Record_Carry:
		// A carry may be older than the records read before it, so it changes nothing else.
		e.state.Restated = max(e.state.Restated, offset)
		return ""
	case *peerpb.Record_End:
		return e.end(offset, kind.End)
	case *peerpb.Record_Start:
		return e.start(kind.Start)
	}
	return ReasonInvalid
}

func (e *entry) cancel() Reason {
	if e.state.Cancelled {
		return ReasonAlreadyCancelled
	}
	e.state.Cancelled = true
	return ""
}

func (e *entry) carry(offset int64, carry *peerpb.Carry) Reason {
	e.state = State{
		Job:        carry.GetJob(),
		Owner:      carry.GetOwner(),
		Generation: carry.GetGeneration(),
		Started:    carry.GetStarted(),
		Agents:     carry.GetAgents(),
		Cancelled:  carry.GetCancelled(),
		End:        carry.GetEnd(),
		Voided:     carry.GetVoided(),
		Restated:   offset,
	}
	if e.state.End != nil {
		e.state.EndOffset = offset
	}
	e.settle()
	return ""
}

func (e *entry) end(offset int64, end *peerpb.End) Reason {
	if end.GetNeverStarted() || end.GetOutcome() == peerpb.Outcome_OUTCOME_REFUSED {
		if e.state.Started && !e.state.Job.GetIdempotent() {
			return ReasonMayHaveRun
		}
		if end.GetGeneration() != e.state.Generation {
			return ReasonGeneration
		}
	}
	e.state.End = end
	e.state.EndOffset = offset
	return ""
}

// provisional returns the state as far as the pending records tell it.
func (e *entry) provisional() State {
	state := e.state
	for _, p := range e.pending {
		switch kind := p.record.GetKind().(type) {
		case *peerpb.Record_Adopt:
			state.Owner = kind.Adopt.GetOwner()
			state.Generation = p.offset
		case *peerpb.Record_Cancel:
			state.Cancelled = true
		case *peerpb.Record_End:
			if state.End == nil && (!state.Started || !kind.End.GetNeverStarted()) {
				state.End = kind.End
				state.EndOffset = p.offset
				state.AnswerDropped = kind.End.GetAnswer().GetLength() > 0
			}
		case *peerpb.Record_Start:
			state.Started = true
			state.Agents = kind.Start.GetAgents()
		}
	}
	return state
}

// reasonUnknown returns the effect of a record on a job that is not known.
func (e *entry) reasonUnknown(record *peerpb.Record) Reason {
	switch {
	case record.GetCarry() != nil:
		return ReasonCarryBase
	case record.GetVoid() == nil:
		return ReasonUnknownJob
	case e.state.Voided:
		return ReasonVoid
	}
	for _, p := range e.pending {
		if p.record.GetCancel() == nil {
			return ReasonAlreadyAccepted
		}
	}
	return ""
}

// settle folds the pending records on top of the state.
func (e *entry) settle() {
	e.known = true
	pending := e.pending
	e.pending = nil
	for _, p := range pending {
		e.applyKnown(p.offset, p.record)
	}
}

func (e *entry) start(start *peerpb.Start) Reason {
	if start.GetGeneration() != e.state.Generation {
		return ReasonGeneration
	}
	if e.state.Started && !e.state.Job.GetIdempotent() {
		return ReasonAlreadyStarted
	}
	e.state.Started = true
	e.state.Agents = start.GetAgents()
	return ""
}

func reasonEnded(record *peerpb.Record) Reason {
	if record.GetAccept() != nil || record.GetVoid() != nil {
		return ReasonAlreadyAccepted
	}
	return ReasonEnded
}

func reasonVoided(record *peerpb.Record) Reason {
	if record.GetAccept() != nil || record.GetVoid() != nil {
		return ReasonVoid
	}
	return ReasonUnknownJob
}

// withoutAnswer drops the body of an answer, because pending records stay until the log's retention ends.
func withoutAnswer(record *peerpb.Record) *peerpb.Record {
	if record.GetEnd() == nil {
		return record
	}
	return &peerpb.Record{
		Kind: &peerpb.Record_End{
			End: withoutBody(record.GetEnd()),
		},
	}
}
