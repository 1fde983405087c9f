package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestMain fixes seed and number of the property tests, so that every run gives the same verdict; flags override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// history is a log written by several writers, with the full reader's verdicts.
type history struct {
	t       *rapid.T
	full    *Ledger
	batches []*peerpb.Batch
	changes []Change
	next    map[string]uint64
	// late are batches whose append has not reached the log yet.
	late []*peerpb.Batch
	// carries are written by a writer whose previous batch is in the log, and not appended yet.
	carries map[string][]*peerpb.Record
}

func newHistory(t *rapid.T) *history {
	return &history{t: t, full: New(), next: map[string]uint64{}, carries: map[string][]*peerpb.Record{}}
}

func (h *history) append(b *peerpb.Batch) {
	h.changes = append(h.changes, h.full.Apply(int64(len(h.batches)), b)...)
	h.batches = append(h.batches, b)
}

func (h *history) batch(writer string, records ...*peerpb.Record) *peerpb.Batch {
	h.next[writer]++
	return batch(writer, h.next[writer], append(h.carries[writer], records...)...)
}

// record draws a record that names any generation. Only accept, cancel and void precede the accept, because a writer
// learns of a job by its accept.
func (h *history) record(writer string) *peerpb.Record {
	job := rapid.IntRange(0, 3).Draw(h.t, "job")
	id := fmt.Sprint("j", job)
	state, _ := h.full.Job(id)
	kinds := 8
	if state.Job == nil {
		kinds = 3
	}
	generation := state.Generation
	if rapid.IntRange(0, 3).Draw(h.t, "any generation") == 0 {
		generation = int64(rapid.IntRange(0, len(h.batches)+1).Draw(h.t, "generation"))
	}
	switch rapid.IntRange(0, kinds-1).Draw(h.t, "kind") {
	case 0:
		return accept(id, writer, job%2 == 0)
	case 1:
		return cancel(id)
	case 2:
		return void(id)
	case 3:
		return adopt(id, writer, generation)
	case 4, 5:
		return start(id, generation, writer)
	case 6:
		return refused(id, generation)
	}
	return done(id, generation, "answer of "+writer)
}

func (h *history) step() {
	writer := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(h.t, "writer")
	_, held := h.carries[writer]
	switch action := rapid.IntRange(0, 9).Draw(h.t, "action"); {
	case action == 0 && len(h.batches) > 0:
		h.append(rapid.SampledFrom(h.batches).Draw(h.t, "copy"))
	case action == 1 && len(h.late) > 0:
		h.append(h.late[0])
		h.late = h.late[1:]
	case action == 2 && !held:
		h.late = append(h.late, h.batch(writer, h.record(writer)))
	case action == 3 && h.full.writers[writer].based(h.next[writer]+1):
		h.carries[writer] = h.restate()
	default:
		h.append(h.batch(writer, h.record(writer), h.record(writer)))
		delete(h.carries, writer)
	}
}

func (h *history) restate() []*peerpb.Record {
	records := []*peerpb.Record{}
	for _, state := range h.full.Live("") {
		records = append(records, h.full.Carry(state.Job.GetId()))
	}
	return records
}

// readable says that no accept from the offset on is about an id with records before it; ids are remembered only for
// the log's retention.
func (h *history) readable(from int) bool {
	before := map[string]bool{}
	for i, b := range h.batches {
		for _, record := range b.GetRecords() {
			if i < from {
				before[jobID(record)] = true
			} else if record.GetAccept() != nil && before[jobID(record)] {
				return false
			}
		}
	}
	return true
}

// TestInterleavings guards against two effective starts of a non-idempotent job, a second or missing end, an end that
// says never started beside an effective start, and against readers that disagree about live jobs, wherever in the
// log they begin.
func TestInterleavings(t *testing.T) {
	var compared int
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			h.step()
		}
		h.append(h.batch("carrier", claim("carrier")))
		marker := len(h.batches) - 1
		h.append(h.batch("carrier", h.restate()...))
		for from := 1; from <= marker; from++ {
			if h.readable(from) {
				compared++
				compareReader(rt, h, from)
			}
		}
		checkChanges(rt, h)
	})
	require.Greater(t, compared, 1000)
}

func compareReader(t *rapid.T, h *history, from int) {
	reader := New()
	for offset := from; offset < len(h.batches); offset++ {
		reader.Apply(int64(offset), h.batches[offset])
	}
	require.Equal(t, h.full.Live(""), reader.Live(""), "reader from offset %d", from)
	wantTerm, _ := h.full.Claim()
	term, _ := reader.Claim()
	require.Equal(t, wantTerm.GetOffset(), term.GetOffset())
}

func checkChanges(t *rapid.T, h *history) {
	for _, state := range h.full.Live("") {
		h.append(h.batch("closer", done(state.Job.GetId(), state.Generation, "x")))
	}
	accepts, starts, ends, neverStarted := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for _, change := range h.changes {
		require.Equal(t, change.Applied, change.Reason == "")
		switch {
		case !change.Applied:
		case change.Record.GetAccept() != nil:
			accepts[change.Job]++
		case change.Record.GetStart() != nil:
			starts[change.Job]++
		case change.Record.GetEnd() != nil:
			ends[change.Job]++
			if change.Record.GetEnd().GetNeverStarted() {
				neverStarted[change.Job]++
			}
		}
	}
	require.Equal(t, accepts, ends)
	for id, count := range accepts {
		require.Equal(t, 1, count)
		state, _ := h.full.Job(id)
		if state.Job.GetIdempotent() {
			continue
		}
		require.LessOrEqual(t, starts[id], 1)
		require.False(t, starts[id] > 0 && neverStarted[id] > 0, "%s started and ended as never started", id)
	}
}
