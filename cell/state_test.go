package cell

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
)

func apply(t *testing.T, state *State, entries ...Entry) {
	t.Helper()
	for _, entry := range entries {
		_, err := state.Apply(entry)
		require.NoError(t, err)
	}
}

func must(t *testing.T) func(entry Entry, err error) Entry {
	t.Helper()
	return func(entry Entry, err error) Entry {
		require.NoError(t, err)
		return entry
	}
}

// The states that callers see must follow from the log alone, in whatever order the records of a job come.
func TestStateOfAJob(t *testing.T) {
	const id = "00000000000000aa"
	job := must(t)(JobEntry(&cellpb.Job{Id: id, Queue: "q"}))
	cancel := must(t)(CancelEntry(id))
	begun := must(t)(ProgressEntry(&cellpb.Progress{Id: id, State: cellpb.State_STATE_RUNNING, Begun: true}))
	done := must(t)(ProgressEntry(&cellpb.Progress{Id: id, State: cellpb.State_STATE_DONE, Begun: true}))
	tests := []struct {
		name    string
		entries []Entry
		want    cellpb.State
		pending int
	}{
		{name: "accepted", entries: []Entry{job}, want: cellpb.State_STATE_QUEUED, pending: 1},
		{name: "begun", entries: []Entry{job, begun}, want: cellpb.State_STATE_RUNNING},
		{name: "done", entries: []Entry{job, begun, done}, want: cellpb.State_STATE_DONE},
		{name: "accepted again after its end", entries: []Entry{job, done, job}, want: cellpb.State_STATE_DONE},
		{name: "cancelled before the record came", entries: []Entry{cancel, job}, want: cellpb.State_STATE_CANCELLED},
		{name: "cancelled after its end", entries: []Entry{job, done, cancel}, want: cellpb.State_STATE_DONE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := NewState()
			apply(t, state, test.entries...)
			tracked, ok := state.Job(id)
			require.True(t, ok)
			require.Equal(t, test.want, tracked.State())
			require.Equal(t, test.pending, state.Pending("q"))
			apply(t, state, DropEntries(id)...)
			_, ok = state.Job(id)
			require.False(t, ok)
		})
	}
}

// A scheduler that was replaced must not be taken for the present one because its record is read last.
func TestClaimNeverGoesBack(t *testing.T) {
	state := NewState()
	newer := must(t)(ClaimEntry(&cellpb.Claim{Epoch: 7, Holder: "b"}))
	older := must(t)(ClaimEntry(&cellpb.Claim{Epoch: 5, Holder: "a"}))
	apply(t, state, newer, older)
	require.Equal(t, "b", state.Claim().GetHolder())
}

func TestUnreadableRecordChangesNothing(t *testing.T) {
	state := NewState()
	for _, value := range []string{"\xff\xff", "\x0a"} {
		_, err := state.Apply(Entry{Key: "job/x", Value: []byte(value)})
		require.Error(t, err)
	}
	require.Empty(t, state.Jobs())
}

func TestTaskID(t *testing.T) {
	id, err := ParseTaskID("5c0e7a21d94b36f8.0.1.17")
	require.NoError(t, err)
	require.Equal(t, "5c0e7a21d94b36f8.0.1.17", id.String())
	for _, bad := range []string{"", "a.1.2", "a.1.2.x", "a.-1.2.3", "a.1.2.3.4"} {
		_, err = ParseTaskID(bad)
		require.Error(t, err, bad)
	}
}
