package harness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/workerserver"
)

func at(seconds int) time.Time {
	return time.Unix(int64(seconds), 0)
}

func task(seconds int, kind, state string, member int32) workerserver.Event {
	return workerserver.Event{
		Time:   at(seconds),
		Event:  kind,
		Kind:   workerserver.KindTask,
		ID:     "id",
		Job:    "gang",
		Member: member,
		Worker: "w1",
		Zone:   "suva",
		State:  state,
	}
}

func resumed(event workerserver.Event) workerserver.Event {
	event.Resumed = true
	return event
}

// TestNoPartialGangs guards against an invariant that misses a gang without all of its members, or that reports members
// that are done.
func TestNoPartialGangs(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []workerserver.Event
		want   string
	}{
		{
			name: "starts within the limit and ends one by one",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(5, "start", "running", 1),
				task(10, "end", "done", 0),
				task(90, "end", "done", 1),
			},
		},
		{
			name: "second member starts too late",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(6, "start", "running", 1),
			},
			want: "without all of its 2 members for 6s",
		},
		{
			name: "member that lapsed is missing at the end",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(0, "start", "running", 1),
				task(50, "lapse", "lapsed", 1),
			},
			want: "without all of its 2 members for 50s",
		},
		{
			name: "others end soon after a member was killed",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(0, "start", "running", 1),
				task(50, "end", harness.StateKilled, 1),
				task(54, "lapse", "lapsed", 0),
			},
		},
		{
			name: "member that failed is not done",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(0, "start", "running", 1),
				task(10, "end", "failed", 1),
				task(30, "end", "done", 0),
			},
			want: "without all of its 2 members for 20s",
		},
		{
			name: "member that runs twice",
			events: []workerserver.Event{
				task(0, "start", "running", 0),
				task(1, "start", "running", 0),
				task(2, "start", "running", 1),
			},
			want: "already runs",
		},
		{
			name: "job that nobody accepted",
			events: []workerserver.Event{
				{
					Event: "start",
					Kind:  workerserver.KindTask,
					Job:   "other",
				},
			},
			want: "the log does not have the job",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := harness.NoPartialGangs(test.events, map[string]int32{
				"gang": 2,
			}, 5*time.Second, at(100))
			if test.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.want)
		})
	}
}

// TestAtMostOnce guards against an invariant that misses a second run, or that takes a resumed run for one.
func TestAtMostOnce(t *testing.T) {
	first := task(0, "start", "running", 0)
	checkpointed := task(1, "end", "checkpointed", 0)
	again := task(2, "start", "running", 0)
	for _, test := range []struct {
		name     string
		events   []workerserver.Event
		violated bool
	}{
		{
			name:   "members of one gang",
			events: []workerserver.Event{first, task(0, "start", "running", 1)},
		},
		{
			name:     "again after a failure",
			events:   []workerserver.Event{first, task(1, "end", "failed", 0), again},
			violated: true,
		},
		{
			name:     "again while the first runs",
			events:   []workerserver.Event{first, resumed(again)},
			violated: true,
		},
		{
			name:   "resumed from its checkpoint",
			events: []workerserver.Event{first, checkpointed, resumed(again)},
		},
		{
			name:     "from the beginning in spite of a checkpoint",
			events:   []workerserver.Event{first, checkpointed, again},
			violated: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := harness.AtMostOnce(test.events, map[string]bool{
				"gang": true,
			})
			require.Equal(t, test.violated, err != nil, "%v", err)
			require.NoError(t, harness.AtMostOnce(test.events, nil))
		})
	}
}

// TestNoStart guards against invariants that look at the wrong zone, server or time.
func TestNoStart(t *testing.T) {
	events := []workerserver.Event{task(10, "start", "running", 0), task(11, "end", "done", 0)}
	require.Error(t, harness.NoStartInZone(events, "suva", at(9), at(20)))
	require.NoError(t, harness.NoStartInZone(events, "suva", at(10), at(20)))
	require.NoError(t, harness.NoStartInZone(events, "suva", at(5), at(10)))
	require.NoError(t, harness.NoStartInZone(events, "nausori", at(9), at(20)))
	require.Error(t, harness.NoStartOn(events, "w1", at(9), at(20)))
	require.NoError(t, harness.NoStartOn(events, "w2", at(9), at(20)))
	require.Error(t, harness.NotRun(events, map[string]bool{
		"gang": true,
	}))
	require.NoError(t, harness.NotRun(events, nil))
}
