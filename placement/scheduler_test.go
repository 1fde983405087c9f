package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startTime() time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
}

// newScheduler returns a scheduler with workers of eight accelerators, three per rack and one rack per zone.
func newScheduler(workers int, policy Policy) *Scheduler {
	s := New(Config{})
	s.SetPolicy(policy)
	for i := range workers {
		s.SetWorker(startTime(), Worker{
			ID:           fmt.Sprintf("w%02d", i),
			Zone:         fmt.Sprintf("z%d", i/3),
			Rack:         fmt.Sprintf("r%d", i/3),
			Accelerators: 8,
			Cores:        64,
			Memory:       64 << 30,
		})
	}
	return s
}

func newPolicy(shapes ...Shape) Policy {
	return Policy{
		Workspaces: []Workspace{
			{
				Name:       "weddings",
				Share:      1,
				Guarantees: shapes,
			},
			{
				Name:  "hotel",
				Share: 1,
			},
		},
	}
}

func newJob(id, workspace string, members, accelerators int, scope Scope) Job {
	return Job{
		ID:             id,
		Workspace:      workspace,
		Members:        members,
		Accelerators:   accelerators,
		Scope:          scope,
		Idempotent:     true,
		Checkpointable: true,
		Declared:       time.Minute,
	}
}

func kindsByJob(decisions []Decision) map[string]Kind {
	out := map[string]Kind{}
	for _, d := range decisions {
		out[d.Job] = d.Kind
	}
	return out
}

// TestReclaimGuarantee guards against borrowers that keep a guarantee which its workspace reclaims, and against an
// eviction limit other than that of the policy.
func TestReclaimGuarantee(t *testing.T) {
	s := newScheduler(1, newPolicy(Shape{Members: 1, Accelerators: 8, Scope: ScopeWorker}))
	now := startTime().Add(time.Minute)
	require.NoError(t, s.Submit(now, newJob("costing", "hotel", 1, 8, ScopeWorker)))
	placed := s.Decide(now)
	require.Equal(t, Place, placed[0].Kind)
	require.True(t, placed[0].Borrowed)
	require.NoError(t, s.Submit(now, newJob("quote", "weddings", 1, 4, ScopeWorker)))
	decisions := s.Decide(now)
	require.Equal(t, Evict, kindsByJob(decisions)["costing"])
	require.True(t, decisions[0].Checkpoint)
	require.Equal(t, 10*time.Second, decisions[0].Limit)
	s.Ended(now.Add(time.Second), "costing", Result{})
	decisions = s.Decide(now.Add(time.Second))
	require.Equal(t, Place, decisions[0].Kind)
	require.Equal(t, "quote", decisions[0].Job)
	require.False(t, decisions[0].Borrowed)
}

// TestNonEvictableJobNeverBorrows guards against jobs that cannot be evicted being placed on accelerators guaranteed
// to others.
func TestNonEvictableJobNeverBorrows(t *testing.T) {
	s := newScheduler(2, newPolicy(Shape{Members: 1, Accelerators: 4, Scope: ScopeWorker}))
	now := startTime().Add(time.Minute)
	fixed := func(id, workspace string, accelerators int) Job {
		j := newJob(id, workspace, 1, accelerators, ScopeWorker)
		j.Idempotent, j.Checkpointable = false, false
		return j
	}
	require.ErrorIs(t, s.Submit(now, fixed("a", "hotel", 1)), ErrNeverRuns)
	require.ErrorIs(t, s.Submit(now, fixed("b", "weddings", 8)), ErrNeverRuns)
	require.NoError(t, s.Submit(now, fixed("c", "weddings", 4)))
	require.NoError(t, s.Submit(now, fixed("d", "weddings", 4)))
	require.Equal(t, map[string]Kind{"c": Place, "d": Wait}, kindsByJob(s.Decide(now)))
}

// TestImpossibleJobRefused guards against impossible jobs that wait forever, and against refusals that do not say what
// to change.
func TestImpossibleJobRefused(t *testing.T) {
	for _, testCase := range []struct {
		name string
		job  Job
		want string
	}{
		{
			name: "member larger than any worker",
			job:  newJob("a", "hotel", 1, 9, ScopeWorker),
			want: "ask for at most 8 accelerators",
		},
		{
			name: "gang larger than a rack",
			job:  newJob("a", "hotel", 4, 8, ScopeRack),
			want: "at most 3 fit: ask for fewer members or a wider scope",
		},
		{
			name: "more members without accelerators than cores",
			job:  newJob("a", "hotel", 1<<40, 0, ScopeAny),
			want: "at most 256 fit",
		},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			s := newScheduler(4, Policy{})
			require.ErrorContains(t, s.Submit(startTime().Add(time.Minute), testCase.job), testCase.want)
			require.NoError(t, s.Submit(startTime(), testCase.job), "workers may still be registering")
			require.Equal(t, Refuse, s.Decide(startTime().Add(time.Minute))[0].Kind)
		})
	}
}

// TestJobFailingEverywhereRefused guards against a job that is retried forever, and against workers being quarantined
// because of it.
func TestJobFailingEverywhereRefused(t *testing.T) {
	s := newScheduler(4, Policy{})
	now := startTime().Add(time.Minute)
	for _, id := range []string{"bad1", "bad2", "bad3"} {
		require.NoError(t, s.Submit(now, newJob(id, "hotel", 1, 8, ScopeWorker)))
		for range 3 {
			placed := s.Decide(now)
			require.Equal(t, Place, placed[0].Kind)
			s.Ended(now, id, Result{
				FailedWorker: placed[0].Members[0].Worker,
				Reason:       "exit 1",
			})
		}
		last := s.Decide(now)
		require.Equal(t, Refuse, last[0].Kind)
		require.Len(t, last[0].Reasons, 3)
	}
	for _, n := range s.cell.nodes {
		require.False(t, n.health.quarantined)
	}
}

// TestWorkerQuarantine guards against further jobs being placed on a worker on which every job fails, and against the
// worker staying in quarantine after its repair.
func TestWorkerQuarantine(t *testing.T) {
	s := newScheduler(1, Policy{})
	now := startTime().Add(time.Minute)
	for i := range 3 {
		id := fmt.Sprintf("j%d", i)
		require.NoError(t, s.Submit(now, newJob(id, "hotel", 1, 1, ScopeWorker)))
		require.Equal(t, Place, kindsByJob(s.Decide(now))[id])
		s.Ended(now, id, Result{
			FailedWorker: "w00",
		})
	}
	require.NoError(t, s.Submit(now, newJob("next", "hotel", 1, 1, ScopeWorker)))
	require.Equal(t, map[string]Kind{"next": Wait}, kindsByJob(s.Decide(now)))
	now = now.Add(30 * time.Second)
	require.Equal(t, map[string]Kind{"next": Place}, kindsByJob(s.Decide(now)))
	require.NoError(t, s.Submit(now, newJob("other", "hotel", 1, 1, ScopeWorker)))
	require.Equal(t, map[string]Kind{"other": Wait}, kindsByJob(s.Decide(now)), "one probe at a time")
	s.Ended(now, "next", Result{
		OK: true,
	})
	require.Equal(t, map[string]Kind{"other": Place}, kindsByJob(s.Decide(now)))
}
