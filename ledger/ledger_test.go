package ledger

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

func accept(id, owner string, idempotent bool) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Accept{Accept: &peerpb.Accept{
		Job: &peerpb.Job{
			Id:         id,
			Workspace:  "weddings",
			Idempotent: idempotent,
			Payload:    []byte("payload"),
		},
		Owner: owner,
	}}}
}

func adopt(id, owner string, generation int64) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Adopt{Adopt: &peerpb.Adopt{
		Job:        id,
		Generation: generation,
		Owner:      owner,
	}}}
}

func cancel(id string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Cancel{Cancel: &peerpb.Cancel{Job: id}}}
}

func claim(placer string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Claim{Claim: &peerpb.Claim{Placer: placer}}}
}

func end(id string, generation int64, outcome peerpb.Outcome, neverStarted bool) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_End{End: &peerpb.End{
		Job:          id,
		Generation:   generation,
		Outcome:      outcome,
		NeverStarted: neverStarted,
	}}}
}

func done(id string, generation int64, body string) *peerpb.Record {
	record := end(id, generation, peerpb.Outcome_OUTCOME_DONE, false)
	record.GetEnd().Answer = &peerpb.Answer{Job: id, Length: int64(len(body)), Body: []byte(body)}
	return record
}

func refused(id string, generation int64) *peerpb.Record {
	return end(id, generation, peerpb.Outcome_OUTCOME_REFUSED, true)
}

func start(id string, generation int64, agents ...string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Start{Start: &peerpb.Start{
		Job:        id,
		Generation: generation,
		Agents:     agents,
	}}}
}

func void(id string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Void{Void: &peerpb.Void{Job: id}}}
}

func batch(writer string, sequence uint64, records ...*peerpb.Record) *peerpb.Batch {
	return &peerpb.Batch{Writer: writer, Sequence: sequence, Records: records}
}

// TestApplyRaces guards against a job that runs twice, ends twice or is called never started although it ran, when
// the records of several writers cross. Record i is appended at offset i.
func TestApplyRaces(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []*peerpb.Record
		want    []Reason
	}{
		{
			name:    "second accept of an id",
			records: []*peerpb.Record{accept("a", "e1", false), accept("a", "e2", false)},
			want:    []Reason{"", ReasonAlreadyAccepted},
		},
		{
			name:    "second start of a non-idempotent job",
			records: []*peerpb.Record{accept("a", "e1", false), start("a", 0, "w1"), start("a", 0, "w2")},
			want:    []Reason{"", "", ReasonAlreadyStarted},
		},
		{
			name:    "second start of an idempotent job",
			records: []*peerpb.Record{accept("a", "e1", true), start("a", 0, "w1"), start("a", 0, "w2")},
			want:    []Reason{"", "", ""},
		},
		{
			name:    "start by the old generation after an adoption",
			records: []*peerpb.Record{accept("a", "e1", false), adopt("a", "e2", 0), start("a", 0), start("a", 1)},
			want:    []Reason{"", "", ReasonGeneration, ""},
		},
		{
			name:    "start by the new generation after a start by the old one",
			records: []*peerpb.Record{accept("a", "e1", false), start("a", 0), adopt("a", "e2", 0), start("a", 2)},
			want:    []Reason{"", "", "", ReasonAlreadyStarted},
		},
		{
			name:    "two adoptions of one generation",
			records: []*peerpb.Record{accept("a", "e1", false), adopt("a", "e2", 0), adopt("a", "e3", 0), adopt("a", "e3", 1)},
			want:    []Reason{"", "", ReasonGeneration, ""},
		},
		{
			name:    "start and adoption after the end",
			records: []*peerpb.Record{accept("a", "e1", false), refused("a", 0), start("a", 0), adopt("a", "e2", 0)},
			want:    []Reason{"", "", ReasonEnded, ReasonEnded},
		},
		{
			name:    "refusal after the start of a non-idempotent job",
			records: []*peerpb.Record{accept("a", "e1", false), start("a", 0), refused("a", 0), done("a", 0, "x")},
			want:    []Reason{"", "", ReasonMayHaveRun, ""},
		},
		{
			name: "cancelled before start, after the start",
			records: []*peerpb.Record{
				accept("a", "e1", false), cancel("a"), start("a", 0),
				end("a", 0, peerpb.Outcome_OUTCOME_CANCELLED, true), end("a", 0, peerpb.Outcome_OUTCOME_CANCELLED, false),
			},
			want: []Reason{"", "", "", ReasonMayHaveRun, ""},
		},
		{
			name:    "refusal by an owner that was replaced",
			records: []*peerpb.Record{accept("a", "e1", true), adopt("a", "e2", 0), refused("a", 0), done("a", 0, "x")},
			want:    []Reason{"", "", ReasonGeneration, ""},
		},
		{
			name:    "second end",
			records: []*peerpb.Record{accept("a", "e1", true), done("a", 0, "x"), done("a", 0, "y"), cancel("a"), void("a")},
			want:    []Reason{"", "", ReasonEnded, ReasonEnded, ReasonAlreadyAccepted},
		},
		{
			name:    "accept after void",
			records: []*peerpb.Record{void("a"), accept("a", "e1", false), void("a"), start("a", 1)},
			want:    []Reason{"", ReasonVoid, ReasonVoid, ReasonUnknownJob},
		},
		{
			name:    "void after accept",
			records: []*peerpb.Record{accept("a", "e1", false), void("a"), start("a", 0)},
			want:    []Reason{"", ReasonAlreadyAccepted, ""},
		},
		{
			name:    "cancel before accept and again",
			records: []*peerpb.Record{cancel("a"), accept("a", "e1", false), cancel("a")},
			want:    []Reason{ReasonUnknownJob, "", ReasonAlreadyCancelled},
		},
		{
			name:    "accept of a job that a truncated log knows as started",
			records: []*peerpb.Record{start("a", 0), accept("a", "e1", false), void("a")},
			want:    []Reason{ReasonUnknownJob, ReasonAlreadyAccepted, ReasonAlreadyAccepted},
		},
		{
			name:    "records without a kind or an id",
			records: []*peerpb.Record{{}, accept("", "e1", false), cancel("")},
			want:    []Reason{ReasonInvalid, ReasonInvalid, ReasonInvalid},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			jobs := New()
			var got []Reason
			for i, record := range test.records {
				change := jobs.Apply(int64(i), batch("e1", uint64(i+1), record))[0]
				require.Equal(t, change.Reason == "", change.Applied)
				got = append(got, change.Reason)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestApplyWithinBatch guards against records of one batch that take each other's offset for a generation of their
// own: two adoptions of one generation must not both take effect.
func TestApplyWithinBatch(t *testing.T) {
	jobs := New()
	jobs.Apply(4, batch("e1", 1, accept("a", "e1", false)))
	changes := jobs.Apply(5, batch("e1", 2, adopt("a", "e2", 4), adopt("a", "e3", 5)))
	require.True(t, changes[0].Applied)
	require.Equal(t, ReasonGeneration, changes[1].Reason)
}

// TestApplyDuplicateBatch guards against a batch that counts twice after its first response was lost, also when the
// copy arrives after younger batches or the reader reads an offset again.
func TestApplyDuplicateBatch(t *testing.T) {
	jobs := New()
	for offset, sequence := range []uint64{1, 3, 2, 4} {
		require.True(t, jobs.Apply(int64(offset), batch("e1", sequence, claim("e1")))[0].Applied)
	}
	for offset, sequence := range []uint64{2, 1, 4, 3} {
		require.Equal(t, ReasonDuplicateBatch, jobs.Apply(int64(4+offset), batch("e1", sequence, claim("e1")))[0].Reason)
	}
	require.Equal(t, ReasonDuplicateBatch, jobs.Apply(7, batch("e9", 1, claim("e9")))[0].Reason)
	term, current := jobs.Claim()
	require.Equal(t, int64(3), term.GetOffset())
	require.Equal(t, "e1", current.GetPlacer())
	require.Equal(t, int64(8), jobs.Next())
}

// TestCarry guards against a reader of a truncated log that believes a carry written before records it cannot see:
// it would permit a second start.
func TestCarry(t *testing.T) {
	full := New()
	full.Apply(0, batch("e1", 1, accept("a", "e1", false)))
	stale := full.Carry("a")
	full.Apply(1, batch("e2", 1, start("a", 0, "w1")))
	full.Apply(2, batch("e1", 2, stale))
	fresh := full.Carry("a")
	require.True(t, full.Apply(3, batch("e1", 3, fresh))[0].Applied)

	truncated := New()
	require.Equal(t, ReasonCarryBase, truncated.Apply(2, batch("e1", 2, stale))[0].Reason)
	require.Empty(t, truncated.Live(""))
	require.True(t, truncated.Apply(3, batch("e1", 3, fresh))[0].Applied)
	require.Equal(t, full.Live(""), truncated.Live(""))
	require.Equal(t, ReasonAlreadyStarted, truncated.Apply(4, batch("e2", 2, start("a", 0)))[0].Reason)
}

// TestCarryWithRecordsBefore guards against records between the base of a carry and the carry itself that a reader of
// a truncated log forgets.
func TestCarryWithRecordsBefore(t *testing.T) {
	full := New()
	full.Apply(0, batch("e1", 1, accept("a", "e1", false), accept("b", "e1", true)))
	full.Apply(1, batch("e1", 2))
	a, b := full.Carry("a"), full.Carry("b")
	truncated := New()
	truncated.Apply(1, batch("e1", 2))
	for _, jobs := range []*Ledger{full, truncated} {
		jobs.Apply(2, batch("e2", 1, adopt("a", "e2", 0), done("b", 0, "x")))
		jobs.Apply(3, batch("e2", 2, start("a", 2, "w1"), cancel("a")))
		jobs.Apply(4, batch("e1", 3, a, b))
	}
	require.Len(t, full.Live(""), 1)
	require.Equal(t, full.Live(""), truncated.Live(""))
	state, ok := truncated.Job("b")
	require.True(t, ok)
	require.Equal(t, peerpb.Outcome_OUTCOME_DONE, state.End.GetOutcome())
	require.True(t, state.AnswerDropped)
	require.Equal(t, int64(2), state.EndOffset)
}

// TestEndedJobs guards against answers, workspaces or reasons that are lost when an ended job is made compact, and
// against memory that grows with the answers.
func TestEndedJobs(t *testing.T) {
	jobs := New()
	jobs.answers.limit = 10
	jobs.Apply(0, batch("e1", 1, accept("a", "e1", true), accept("b", "e1", true)))
	jobs.Apply(1, batch("e1", 2, done("a", 0, "123456")))
	state, _ := jobs.Job("a")
	require.Equal(t, "123456", string(state.End.GetAnswer().GetBody()))
	require.Equal(t, "a", state.End.GetJob())
	require.Equal(t, "weddings", state.Job.GetWorkspace())
	require.Empty(t, state.Job.GetPayload())
	jobs.Apply(2, batch("e1", 3, done("b", 0, "123456")))
	state, _ = jobs.Job("a")
	require.True(t, state.AnswerDropped)
	require.Equal(t, int64(6), state.End.GetAnswer().GetLength())
	require.Equal(t, int64(1), state.EndOffset)
	state, _ = jobs.Job("b")
	require.False(t, state.AnswerDropped)
}

// TestExpire guards against live jobs that are forgotten, and against ended and void ones that never are.
func TestExpire(t *testing.T) {
	jobs := New()
	jobs.Apply(0, batch("e1", 1, accept("live", "e1", true), accept("old", "e1", true), accept("new", "e1", true)))
	jobs.Apply(1, batch("e1", 2, done("old", 0, "x"), void("void"), cancel("never")))
	jobs.Apply(2, batch("e1", 3, done("new", 0, "x"), void("fresh")))
	jobs.Expire(2)
	remembered := map[string]bool{"live": true, "old": false, "new": true, "void": false, "fresh": true, "never": false}
	for id, want := range remembered {
		_, ok := jobs.Job(id)
		require.Equal(t, want, ok, id)
	}
	require.Len(t, jobs.Live("e1"), 1)
	require.Empty(t, jobs.Live("e2"))
	jobs.Expire(3)
	require.Empty(t, jobs.answers.order)
	require.Empty(t, jobs.writers)
}

// TestSkip guards against a reader that trusts the state of a job whose records it missed, and against one that
// forgets which ids are final.
func TestSkip(t *testing.T) {
	jobs := New()
	jobs.Apply(0, batch("e1", 1, accept("live", "e1", false), accept("ended", "e1", true), void("void")))
	jobs.Apply(1, batch("e1", 2, done("ended", 0, "x")))
	carry := jobs.Carry("live")
	jobs.Skip(5)
	require.Empty(t, jobs.Live(""))
	require.Equal(t, ReasonCarryBase, jobs.Apply(5, batch("e1", 3, carry))[0].Reason)
	require.Equal(t, ReasonAlreadyAccepted, jobs.Apply(6, batch("e1", 4, accept("ended", "e1", true)))[0].Reason)
	require.Equal(t, ReasonVoid, jobs.Apply(7, batch("e1", 5, accept("void", "e1", true)))[0].Reason)
	require.True(t, jobs.Apply(8, batch("e1", 6, carry))[0].Applied)
	require.Len(t, jobs.Live(""), 1)
}

// BenchmarkEndedJobs measures time and memory per job that was accepted, started and ended, with a payload of 1 KB and
// an answer of 100 bytes.
func BenchmarkEndedJobs(b *testing.B) {
	var before, after runtime.MemStats
	jobs := New()
	runtime.GC()
	runtime.ReadMemStats(&before)
	var offset int64
	for b.Loop() {
		id := fmt.Sprintf("0b1e6a52-3f7c-4d0e-9a51-%012d", offset)
		accepted := accept(id, "entry-1", false)
		accepted.GetAccept().Job.Payload = make([]byte, 1024)
		jobs.Apply(offset, batch("entry-1", uint64(offset), accepted))
		jobs.Apply(offset+1, batch("entry-1", uint64(offset+1), start(id, offset, "agent-1")))
		jobs.Apply(offset+2, batch("entry-1", uint64(offset+2), done(id, offset, strings.Repeat("x", 100))))
		offset += 3
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-bytes/job")
	runtime.KeepAlive(jobs)
}
