package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

func announcement(boot string, change uint64, tasks ...*peerpb.TaskInfo) *peerpb.Announce {
	return &peerpb.Announce{
		Agent:   "w1",
		Address: "w1:1",
		Boot:    boot,
		Change:  change,
		Full:    true,
		Worker: &peerpb.WorkerInfo{
			Accelerators: 8,
			Slots:        4,
		},
		Tasks: tasks,
	}
}

func short(boot string, change uint64) *peerpb.Announce {
	return &peerpb.Announce{
		Agent:       "w1",
		Address:     "w1:2",
		Boot:        boot,
		Change:      change,
		Outstanding: 3,
		Leaving:     change > 1,
	}
}

// TestFleetAnnounce guards against work on an agent whose state the entry does not know.
func TestFleetAnnounce(t *testing.T) {
	now := time.Unix(1000000, 0)
	f := newFleet()
	resend, _ := f.announce(now, short("x", 1))
	require.True(t, resend, "a short form of an unknown agent")
	require.Empty(t, f.list())

	task := &peerpb.TaskInfo{Job: "j", Accelerators: 0b101}
	ended := &peerpb.TaskInfo{Job: "k", Accelerators: 2, Ended: true}
	resend, changed := f.announce(now, announcement("x", 1, task, ended))
	require.False(t, resend)
	require.True(t, changed)
	require.Len(t, f.tasksOf("j"), 1)
	view, _ := f.get("w1")
	require.Equal(t, 6, view.freeAccelerators())

	resend, changed = f.announce(now.Add(time.Second), short("x", 1))
	require.False(t, resend)
	require.False(t, changed)
	view, _ = f.get("w1")
	require.Equal(t, "w1:2", view.address)
	require.Equal(t, int32(3), view.outstanding)
	require.Equal(t, now.Add(time.Second), view.heard)
	require.Len(t, view.tasks, 1+1, "a short form keeps the tasks")

	resend, changed = f.announce(now, short("x", 2))
	require.True(t, resend, "a change that this entry lacks")
	require.True(t, changed, "leaving")
}

// TestFleetBoot guards against taking the tasks of an agent's earlier process for those of its new one.
func TestFleetBoot(t *testing.T) {
	now := time.Unix(1000000, 0)
	f := newFleet()
	f.announce(now, announcement("x", 7, &peerpb.TaskInfo{Job: "j"}))
	resend, _ := f.announce(now.Add(time.Second), short("y", 7))
	require.True(t, resend)
	view, _ := f.get("w1")
	require.Equal(t, now, view.heard, "an unknown boot is no sign of the known one")
	f.announce(now, announcement("y", 1))
	require.Empty(t, f.tasksOf("j"))
	view, _ = f.get("w1")
	require.Equal(t, "y", view.boot)
}

// TestFleetExpire guards against taking the tasks of a silent agent for ended too early or never.
func TestFleetExpire(t *testing.T) {
	now := time.Unix(1000000, 0)
	f := newFleet()
	f.announce(now, announcement("x", 1))
	require.Empty(t, f.expire(now.Add(agentGone)))
	require.Equal(t, []string{"w1"}, f.expire(now.Add(agentGone+1)))
	_, known := f.get("w1")
	require.False(t, known)
	resend, _ := f.announce(now.Add(agentGone+2), short("x", 1))
	require.True(t, resend, "a returning agent must tell its tasks")
}
