package entry

import (
	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

// observeChange acts on a record that was read from the job stream. It must not block.
func (e *Entry) observeChange(offset int64, change ledger.Change) {
	if !change.Applied {
		return
	}
	switch kind := change.Record.GetKind().(type) {
	case *peerpb.Record_Claim:
		if e.terms.observeClaim(offset, kind.Claim) {
			e.logger.Info("follow placer", "placer", kind.Claim.GetPlacer(), "offset", offset)
			e.termChanges.notify()
			e.placer.kick()
		}
	case *peerpb.Record_Accept:
		e.own(change.Job, false)
	case *peerpb.Record_Carry:
		e.own(change.Job, true)
	case *peerpb.Record_Adopt:
		e.own(change.Job, true)
	case *peerpb.Record_Cancel:
		e.owner.cancel(change.Job)
	case *peerpb.Record_End:
		e.handovers.remove(change.Job)
		e.owner.cancel(change.Job)
	}
}

// own starts a job if this entry is its owner.
func (e *Entry) own(id string, adopted bool) {
	state, ok := e.jobs.state(id)
	if !ok || !state.Live() || state.Owner != e.config.ID {
		return
	}
	e.owner.add(state, adopted)
}
