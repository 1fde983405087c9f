package document

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"radishpath.example/radishpath/peer/peerpb"
)

func publish(base int64, text string) *peerpb.DocumentRecord {
	return &peerpb.DocumentRecord{
		Base:   base,
		Text:   text,
		Author: "ana",
	}
}

// TestFoldJudgesPublishes guards against a publish that overwrites one its operator never saw, against a text with
// faults that takes effect, and against a history that hides why.
func TestFoldJudgesPublishes(t *testing.T) {
	fold := NewFold()
	published := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first := publish(0, "[service]\nname = a\n")
	first.Published = timestamppb.New(published)
	require.Equal(t, Result{Applied: true, Revision: 1}, fold.Apply(0, first))
	require.Equal(t, Result{
		Revision: 1,
		Reason:   "stale: edited from revision 0 while revision 1 was in effect",
	}, fold.Apply(1, publish(0, "")))
	require.Equal(t, Result{
		Revision: 1,
		Reason:   `the text has a fault: document:1: [services] unknown section; did you mean service?`,
	}, fold.Apply(2, publish(1, "[services]")))
	require.Equal(t, Result{
		Revision: 1,
		Reason:   "the record cannot be decoded",
	}, fold.Apply(3, nil))
	require.Equal(t, Result{Applied: true, Revision: 5}, fold.Apply(4, publish(1, "[service]\nname = b\n")))
	require.False(t, fold.Apply(4, publish(1, "")).Applied)
	revision, text, parsed := fold.Current()
	require.Equal(t, int64(5), revision)
	require.Equal(t, "[service]\nname = b\n", text)
	require.Equal(t, "b", parsed.Service)
	history := fold.History()
	require.Len(t, history, 4)
	require.Equal(t, Revision{
		Revision:  1,
		Author:    "ana",
		Published: published,
		Applied:   true,
		Text:      "[service]\nname = a\n",
	}, history[3])
	require.Contains(t, history[1].Reason, "fault")
	require.True(t, history[0].Applied)
}

// TestFoldTakesOffers guards against a process that goes back to an older revision, takes a faulty text from a peer, or
// misjudges the log because a peer was ahead of its own reading.
func TestFoldTakesOffers(t *testing.T) {
	fold := NewFold()
	require.True(t, fold.Offer(3, "[service]\nname = c\n"))
	require.False(t, fold.Offer(3, ""))
	require.False(t, fold.Offer(2, ""))
	require.False(t, fold.Offer(9, "[faulty]"))
	require.True(t, fold.Apply(0, publish(0, "")).Applied)
	require.False(t, fold.Apply(1, publish(0, "")).Applied)
	revision, _, _ := fold.Current()
	require.Equal(t, int64(3), revision)
	require.True(t, fold.Apply(2, publish(1, "[service]\nname = c\n")).Applied)
	require.Equal(t, Result{Applied: true, Revision: 4}, fold.Apply(3, publish(3, "")))
}

// TestFoldTruncatedHead guards against a reader that starts behind the log's head and takes a publish for current whose
// base it cannot judge.
func TestFoldTruncatedHead(t *testing.T) {
	for _, test := range []struct {
		name  string
		carry *peerpb.DocumentRecord
		offer int64
		want  int64
		exact bool
	}{
		{
			name: "nothing settles it",
		},
		{
			name: "carry written before the truncated records",
			carry: &peerpb.DocumentRecord{
				Base:    8,
				Carried: 5,
			},
			want: 5,
		},
		{
			name: "carry that was overtaken by a publish",
			carry: &peerpb.DocumentRecord{
				Base:    10,
				Carried: 5,
			},
			want:  11,
			exact: true,
		},
		{
			name: "carry that names no base",
			carry: &peerpb.DocumentRecord{
				Carried: 11,
			},
			want:  11,
			exact: true,
		},
		{
			name:  "offer of an earlier revision",
			offer: 5,
			want:  5,
		},
		{
			name:  "offer of the revision right before the first record",
			offer: 10,
			want:  10,
			exact: true,
		},
		{
			name:  "offer of a revision that was read",
			offer: 11,
			want:  11,
			exact: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fold := NewFold()
			require.Equal(t, undecided, fold.Apply(10, publish(5, "")).Reason)
			if test.carry != nil {
				fold.Apply(11, test.carry)
			} else {
				fold.Apply(11, publish(5, ""))
			}
			if test.offer != 0 {
				require.True(t, fold.Offer(test.offer, ""))
			}
			revision, _, _ := fold.Current()
			require.Equal(t, test.want, revision)
			require.Equal(t, test.exact, fold.Exact())
			require.Equal(t, test.exact, fold.Apply(12, publish(revision, "")).Applied)
		})
	}
}

// TestFoldReadersAgree guards against readers that end at different revisions after reading the same log, when the head
// was truncated, carries were overtaken by publishes, or peers offered what they know at any moment.
func TestFoldReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		full := NewFold()
		revisions := make([]int64, 0, len(log))
		for offset, record := range log {
			full.Apply(int64(offset), record)
			revision, _, _ := full.Current()
			revisions = append(revisions, revision)
		}
		reader := NewFold()
		highest := int64(0)
		for offset := rapid.IntRange(0, len(log)-1).Draw(t, "head"); offset < len(log); offset++ {
			if rapid.IntRange(0, 9).Draw(t, "offer") == 0 {
				at := rapid.IntRange(0, len(log)-1).Draw(t, "offered at")
				reader.Offer(revisions[at], "")
			}
			reader.Apply(int64(offset), log[offset])
			revision, _, _ := reader.Current()
			require.GreaterOrEqual(t, revision, highest, "the revision went back")
			require.True(t, revision == 0 || revision <= revisions[len(log)-1], "revision %d never took effect", revision)
			if reader.Exact() {
				require.GreaterOrEqual(t, revision, revisions[offset], "an exact reader is behind")
			}
			highest = revision
		}
	})
}

// drawLog draws publishes with current and stale bases, and carries by writers that had read up to some point.
func drawLog(t *rapid.T) []*peerpb.DocumentRecord {
	writer := NewFold()
	var log []*peerpb.DocumentRecord
	var carries []*peerpb.DocumentRecord
	for offset := range rapid.IntRange(1, 40).Draw(t, "length") {
		var record *peerpb.DocumentRecord
		current, _, _ := writer.Current()
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0, 1:
			record = publish(current, "")
		case 2:
			record = publish(int64(rapid.IntRange(0, offset).Draw(t, "base")), "")
		case 3:
			record = publish(current, "[faulty]")
		default:
			if carry := writer.Carry(); carry != nil {
				carries = append(carries, carry)
				record = carries[rapid.IntRange(max(0, len(carries)-3), len(carries)-1).Draw(t, "carry")]
			}
		}
		log = append(log, record)
		writer.Apply(int64(offset), record)
	}
	return log
}
