package document

import (
	"errors"
	"fmt"
	"slices"

	"radishpath.example/radishpath/peer/peerpb"
)

// streamName stands for the file in the findings of a published text.
const streamName = "document"

// undecided is the reason of a publish whose base the reader cannot judge yet.
const undecided = "undecided: the log's earlier records are gone and no carry or peer has settled it yet"

// Result is what became of one record.
type Result struct {
	Applied bool
	// Revision is the current revision after the record.
	Revision int64
	// Reason says why the record had no effect.
	Reason string
}

// Fold is the fold of the document stream. It is not safe for concurrent use.
type Fold struct {
	// next is the offset after the last applied record, first the offset from which on none was missed.
	next  int64
	first int64
	begun bool
	// exact says that folded is certain to be the log's current revision at next.
	exact  bool
	folded state
	// offered is the highest revision that a peer stated.
	offered state
	// held are the publishes since first while the fold is not exact.
	held    []heldPublish
	history history
}

type heldPublish struct {
	offset int64
	record *peerpb.DocumentRecord
}

// NewFold returns a Fold at revision 0.
func NewFold() *Fold {
	return &Fold{}
}

// Apply folds the record at an offset. Every record of the stream must be passed in order; a record that cannot be
// decoded is passed as nil, because a missing offset counts as truncated. A record that was applied before has no
// effect.
func (f *Fold) Apply(offset int64, record *peerpb.DocumentRecord) Result {
	if f.begun && offset < f.next {
		return f.void("the record was read before")
	}
	f.advance(offset)
	f.settle(offset)
	defer func() { f.next = offset + 1 }()
	switch {
	case record == nil:
		return f.void("the record cannot be decoded")
	case record.GetCarried() != 0:
		return f.carry(offset, record)
	case offset+1 == f.offered.revision && f.offered.revision > f.folded.revision:
		return f.confirm(offset, record)
	case !f.exact:
		f.held = append(f.held, heldPublish{
			offset: offset,
			record: record,
		})
		f.history.add(offset, record, false, undecided)
		return f.void(undecided)
	default:
		return f.publish(offset, record)
	}
}

// Carry returns the record that restates the current revision, or nil at revision 0. Its base is the offset up to which
// the fold has read, unless the fold cannot vouch for that; the carry then counts from its own place in the log.
func (f *Fold) Carry() *peerpb.DocumentRecord {
	revision, text, _ := f.Current()
	if revision == 0 {
		return nil
	}
	record := &peerpb.DocumentRecord{
		Carried: revision,
		Text:    text,
	}
	if f.exact && revision == f.folded.revision {
		record.Base = f.next
	}
	return record
}

// Current returns the highest revision known from the log or a peer.
func (f *Fold) Current() (revision int64, text string, parsed Document) {
	current := f.current()
	return current.revision, current.text, current.parsed
}

// Exact reports whether the fold knows the log's current revision for certain. While it does not, it applies no
// publish.
func (f *Fold) Exact() bool {
	return f.exact
}

// History returns the latest publishes, the newest first.
func (f *Fold) History() []Revision {
	revisions := slices.Clone(f.history.revisions)
	slices.Reverse(revisions)
	return revisions
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() int64 {
	return f.next
}

// Offer takes a revision from a peer. It counts only if it is higher than the current one and its text has no faults.
func (f *Fold) Offer(revision int64, text string) bool {
	if revision <= f.current().revision {
		return false
	}
	parsed, err := Parse(streamName, []byte(text))
	if err != nil {
		return false
	}
	f.offered = state{
		revision: revision,
		text:     text,
		parsed:   parsed,
	}
	f.history.learn(f.offered)
	f.settle(f.next)
	return true
}

// Revision returns a publish of the history.
func (f *Fold) Revision(revision int64) (Revision, bool) {
	for _, known := range f.history.revisions {
		if known.Revision == revision {
			return known, true
		}
	}
	return Revision{}, false
}

// advance notices records that were missed: the log's head was truncated, or the reader was behind its retention.
func (f *Fold) advance(offset int64) {
	if f.begun && offset == f.next {
		return
	}
	f.exact = !f.begun && offset == 0
	f.begun = true
	f.first = offset
	f.next = offset
	f.held = nil
}

// carry applies a carry record.
func (f *Fold) carry(offset int64, record *peerpb.DocumentRecord) Result {
	revision := record.GetCarried()
	if revision < f.folded.revision {
		return f.void(fmt.Sprintf("the carried revision %d is below the current one", revision))
	}
	if revision > f.folded.revision {
		parsed, err := Parse(streamName, []byte(record.GetText()))
		if err != nil {
			return f.void(faults(err))
		}
		f.folded = state{
			revision: revision,
			text:     record.GetText(),
			parsed:   parsed,
		}
		f.history.learn(f.folded)
	}
	base := record.GetBase()
	if base <= 0 {
		base = offset
	}
	if !f.exact && base >= f.first {
		f.replay(base)
	}
	return Result{
		Applied:  true,
		Revision: f.current().revision,
	}
}

// confirm applies the publish that a peer has already stated to be in effect.
func (f *Fold) confirm(offset int64, record *peerpb.DocumentRecord) Result {
	f.folded = f.offered
	f.exact = true
	f.held = nil
	f.history.add(offset, record, true, "")
	return Result{
		Applied:  true,
		Revision: f.folded.revision,
	}
}

func (f *Fold) current() state {
	if f.offered.revision > f.folded.revision {
		return f.offered
	}
	return f.folded
}

// publish applies a publish record to an exact fold.
func (f *Fold) publish(offset int64, record *peerpb.DocumentRecord) Result {
	if reason := f.judge(offset, record); reason != "" {
		f.history.add(offset, record, false, reason)
		return f.void(reason)
	}
	f.history.add(offset, record, true, "")
	return Result{
		Applied:  true,
		Revision: f.current().revision,
	}
}

// judge moves the fold to the publish, or returns why the publish is void.
func (f *Fold) judge(offset int64, record *peerpb.DocumentRecord) string {
	if offset+1 <= f.folded.revision {
		return fmt.Sprintf("revision %d was already in effect", f.folded.revision)
	}
	if record.GetBase() != f.folded.revision {
		return fmt.Sprintf("stale: edited from revision %d while revision %d was in effect",
			record.GetBase(), f.folded.revision)
	}
	parsed, err := Parse(streamName, []byte(record.GetText()))
	if err != nil {
		return faults(err)
	}
	f.folded = state{
		revision: offset + 1,
		text:     record.GetText(),
		parsed:   parsed,
	}
	return ""
}

// replay makes the fold exact: folded was current at the offset from, and all later publishes are held.
func (f *Fold) replay(from int64) {
	f.exact = true
	held := f.held
	f.held = nil
	for _, publish := range held {
		if publish.offset >= from {
			f.publish(publish.offset, publish.record)
			continue
		}
		if publish.offset+1 != f.folded.revision {
			f.history.add(publish.offset, publish.record, false, "superseded before this entry read the log")
			continue
		}
		f.history.add(publish.offset, publish.record, true, "")
	}
}

// settle merges the offered revision once the log has passed its record at an offset below end. The fold is exact if
// no record after that one was missed.
func (f *Fold) settle(end int64) {
	if f.offered.revision <= f.folded.revision || f.offered.revision > end {
		return
	}
	f.folded = f.offered
	if f.begun && !f.exact && f.folded.revision >= f.first {
		f.replay(f.folded.revision)
	}
}

func (f *Fold) void(reason string) Result {
	return Result{
		Revision: f.current().revision,
		Reason:   reason,
	}
}

func faults(err error) string {
	var findings Findings
	if !errors.As(err, &findings) || len(findings) == 0 {
		return fmt.Sprintf("the text has faults: %v", err)
	}
	if len(findings) == 1 {
		return fmt.Sprintf("the text has a fault: %s", findings[0])
	}
	return fmt.Sprintf("the text has %d faults, the first is %s", len(findings), findings[0])
}
