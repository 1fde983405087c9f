package ledger

import (
	"sort"
	"sync"

	"radishpath.example/radishpath/peer/peerpb"
)

// answerLimit bounds the bodies of answers in memory, in bytes: an eighth of the 256 MB that a process has for
// control at the target size.
const answerLimit = 32 << 20

// Ledger is the state of all jobs of one job stream.
type Ledger struct {
	mu    sync.RWMutex
	next  int64
	term  *peerpb.Term
	claim *peerpb.Claim
	// entries are the jobs that are live, void or not known yet; ended are all others.
	entries map[string]*entry
	ended   map[string]archived
	answers *answers
	writers map[string]*sequences
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		entries: map[string]*entry{},
		ended:   map[string]archived{},
		answers: newAnswers(answerLimit),
		writers: map[string]*sequences{},
	}
}

// Apply folds the batch at an offset and returns one change per record. Batches must be applied in the order of their
// offsets; one below Next was folded before and has no effect.
func (l *Ledger) Apply(offset int64, batch *peerpb.Batch) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated := offset < l.next
	if !repeated {
		l.next = offset + 1
		repeated = !l.remember(offset, batch)
	}
	based := l.writers[batch.GetWriter()].based(batch.GetSequence())
	changes := make([]Change, 0, len(batch.GetRecords()))
	for _, record := range batch.GetRecords() {
		change := Change{
			Job:    jobID(record),
			Record: record,
			Reason: ReasonDuplicateBatch,
		}
		if !repeated {
			change.Reason = l.apply(offset, change.Job, record, based)
		}
		change.Applied = change.Reason == ""
		changes = append(changes, change)
	}
	return changes
}

// Carry returns a record that restates a live job, or nil for any other id. Package journal writes it so that it
// counts for readers of a truncated log.
func (l *Ledger) Carry(id string) *peerpb.Record {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[id]
	if !ok || !e.known || !e.state.Live() {
		return nil
	}
	return &peerpb.Record{
		Kind: &peerpb.Record_Carry{
			Carry: &peerpb.Carry{
				Job:        e.state.Job,
				Owner:      e.state.Owner,
				Generation: e.state.Generation,
				Started:    e.state.Started,
				Agents:     e.state.Agents,
				Cancelled:  e.state.Cancelled,
			},
		},
	}
}

// Claim returns the current term and the claim that began it; both are nil before the first claim.
func (l *Ledger) Claim() (*peerpb.Term, *peerpb.Claim) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.term, l.claim
}

// Expire forgets the jobs that ended, are void or never became known, and the writers, whose last record is below the
// offset. The offset is the first one that the log still has.
func (l *Ledger) Expire(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		if e.last < before && (!e.known || !e.state.Live()) {
			delete(l.entries, id)
		}
	}
	for id, a := range l.ended {
		if a.last < before {
			delete(l.ended, id)
			l.answers.forget(id)
		}
	}
	for name, w := range l.writers {
		if w.last < before {
			delete(l.writers, name)
		}
	}
}

// Job returns the state of a job or void id; false means that no record about the id was read.
func (l *Ledger) Job(id string) (State, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if a, ok := l.ended[id]; ok {
		return a.restore(id, l.answers.bodies[id]), true
	}
	e, ok := l.entries[id]
	if !ok {
		return State{}, false
	}
	if !e.known {
		return e.provisional(), true
	}
	return e.state, true
}

// Live returns the jobs of an owner that have not ended, or those of all owners when the owner is empty, ordered by
// generation and id.
func (l *Ledger) Live(owner string) []State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var states []State
	for _, e := range l.entries {
		if e.known && e.state.Live() && (owner == "" || owner == e.state.Owner) {
			states = append(states, e.state)
		}
	}
	sort.Slice(states, func(i, j int) bool {
		if states[i].Generation != states[j].Generation {
			return states[i].Generation < states[j].Generation
		}
		return states[i].Job.GetId() < states[j].Job.GetId()
	})
	return states
}

// Next returns the offset after the last applied batch.
func (l *Ledger) Next() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.next
}

// Skip tells that the records from Next up to an offset were truncated before they were folded. Live jobs are then
// unknown until a carry restates them; ended and void ids stay, because their state is final.
func (l *Ledger) Skip(to int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = max(l.next, to)
	l.writers = map[string]*sequences{}
	for id, e := range l.entries {
		if !e.state.Voided {
			delete(l.entries, id)
		}
	}
}

func (l *Ledger) apply(offset int64, id string, record *peerpb.Record, based bool) Reason {
	if claim := record.GetClaim(); claim != nil {
		l.claim = claim
		l.term = &peerpb.Term{
			Offset: offset,
		}
		return ""
	}
	if id == "" {
		return ReasonInvalid
	}
	if a, ok := l.ended[id]; ok {
		a.last = offset
		l.ended[id] = a
		return reasonEnded(record)
	}
	e, ok := l.entries[id]
	if !ok {
		e = &entry{}
		l.entries[id] = e
	}
	reason := e.apply(offset, record, based)
	if e.known && e.state.End != nil {
		l.retire(id, e)
	}
	return reason
}

// remember reports whether the batch is new.
func (l *Ledger) remember(offset int64, batch *peerpb.Batch) bool {
	w, ok := l.writers[batch.GetWriter()]
	if !ok {
		w = &sequences{}
		l.writers[batch.GetWriter()] = w
	}
	w.last = offset
	return w.add(batch.GetSequence())
}

// retire moves an ended job to its compact form.
func (l *Ledger) retire(id string, e *entry) {
	delete(l.entries, id)
	l.ended[id] = archive(e.state, e.last)
	if body := e.state.End.GetAnswer().GetBody(); len(body) > 0 {
		l.answers.add(id, body)
	}
}

func jobID(record *peerpb.Record) string {
	switch kind := record.GetKind().(type) {
	case *peerpb.Record_Accept:
		return kind.Accept.GetJob().GetId()
	case *peerpb.Record_Adopt:
		return kind.Adopt.GetJob()
	case *peerpb.Record_Cancel:
		return kind.Cancel.GetJob()
	case *peerpb.Record_Carry:
		return kind.Carry.GetJob().GetId()
	case *peerpb.Record_End:
		return kind.End.GetJob()
	case *peerpb.Record_Start:
		return kind.Start.GetJob()
	case *peerpb.Record_Void:
		return kind.Void.GetJob()
	}
	return ""
}
