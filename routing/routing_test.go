package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func baseTime() time.Time { return time.Unix(1_700_000_000, 0) }

func newServer(id string, outstanding, large int) Server {
	return Server{
		ID:               id,
		Zone:             "curepipe",
		Slots:            8,
		Outstanding:      outstanding,
		OutstandingLarge: large,
		LastAnnounced:    baseTime(),
	}
}

func newSmallRequest(job string) Request {
	return Request{
		JobID:           job,
		Workspace:       "weddings",
		Kind:            "quote",
		Idempotent:      true,
		DeclaredRunTime: 20 * time.Millisecond,
		Zone:            "curepipe",
	}
}

// TestPick guards against requests sent to a server that is unavailable or has a longer expected wait.
func TestPick(t *testing.T) {
	otherZone := newServer("b", 0, 0)
	otherZone.Zone = "suva"
	draining, zoneOutOfService, silent := newServer("b", 0, 0), newServer("b", 0, 0), newServer("b", 0, 0)
	draining.Draining = true
	zoneOutOfService.ZoneOutOfService = true
	silent.LastAnnounced = baseTime().Add(-announcementTimeout - 1)
	large := newSmallRequest("j")
	large.DeclaredRunTime = time.Minute
	undeclared := newSmallRequest("j")
	undeclared.DeclaredRunTime = 0
	excluded := newSmallRequest("j")
	excluded.ExcludedServers = []string{"b"}
	for _, test := range []struct {
		name    string
		request Request
		other   Server
		want    string
		reason  Reason
	}{
		{name: "fewer outstanding", request: newSmallRequest("j"), other: newServer("b", 0, 0), want: "b"},
		{name: "fewer but larger", request: newSmallRequest("j"), other: newServer("b", 1, 1), want: "a"},
		{name: "other zone, less work, slots free here", request: newSmallRequest("j"), other: otherZone, want: "a"},
		{name: "leaving", request: newSmallRequest("j"), other: draining, want: "a", reason: ReasonDraining},
		{
			name:    "zone out of service",
			request: newSmallRequest("j"),
			other:   zoneOutOfService,
			want:    "a",
			reason:  ReasonOutOfService,
		},
		{name: "silent", request: newSmallRequest("j"), other: silent, want: "a", reason: ReasonSilent},
		{name: "refused before", request: excluded, other: newServer("b", 0, 0), want: "a", reason: ReasonExcluded},
		{
			name:    "connections in use",
			request: newSmallRequest("j"),
			other:   newServer("b", 60, 0),
			want:    "a",
			reason:  ReasonConnectionLimit,
		},
		{
			name:    "large, slots for large in use",
			request: large,
			other:   newServer("b", 7, 7),
			want:    "a",
			reason:  ReasonLargeSlotLimit,
		},
		{
			name:    "undeclared counts as large",
			request: undeclared,
			other:   newServer("b", 7, 7),
			want:    "a",
			reason:  ReasonLargeSlotLimit,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			choice, err := New(Config{}).Pick(baseTime(), test.request, []Server{newServer("a", 2, 0), test.other})
			require.NoError(t, err)
			require.Equal(t, test.want, choice.Server)
			if test.reason != "" {
				require.Equal(t, []Skipped{{Server: "b", Reason: test.reason}}, choice.Skipped)
				require.Contains(t, choice.String(), "skipped: 1 "+string(test.reason))
			}
		})
	}
}

// TestPickWait guards against a request that queues at a full server although another server, possibly in another zone,
// has a free slot or a shorter wait.
func TestPickWait(t *testing.T) {
	otherZone := newServer("b", 0, 0)
	otherZone.Zone = "suva"
	for _, test := range []struct {
		name  string
		local Server
		other Server
		want  string
	}{
		{name: "full here, free in another zone", local: newServer("a", 8, 7), other: otherZone, want: "b"},
		{name: "full here, free beside long work", local: newServer("a", 8, 0), other: newServer("b", 7, 7), want: "b"},
		{name: "both full", local: newServer("a", 9, 7), other: newServer("b", 9, 0), want: "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			choice, err := New(Config{}).Pick(baseTime(), newSmallRequest("j"), []Server{test.local, test.other})
			require.NoError(t, err)
			require.Equal(t, test.want, choice.Server)
		})
	}
}

// TestPickErrors guards against requests that are sent although they miss their deadline or no server can accept them.
func TestPickErrors(t *testing.T) {
	router := New(Config{})
	_, err := router.Pick(baseTime(), newSmallRequest("j"), []Server{newServer("a", 60, 0)})
	require.ErrorIs(t, err, ErrNoServer)
	require.ErrorContains(t, err, "1 connections in use")
	expired := newSmallRequest("j")
	expired.Deadline = baseTime()
	_, err = router.Pick(baseTime(), expired, []Server{newServer("a", 0, 0)})
	require.ErrorIs(t, err, ErrDeadline)
	expired.Deadline = baseTime().Add(100 * time.Millisecond)
	_, err = router.Pick(baseTime(), expired, []Server{newServer("a", 8, 6)})
	require.ErrorIs(t, err, ErrDeadline)
	_, err = router.Pick(baseTime(), expired, []Server{newServer("a", 7, 6)})
	require.NoError(t, err, "a slot is free")
}

// TestPickSpreadsBurst guards against sending a whole burst to the server with the least load in the last announcement.
func TestPickSpreadsBurst(t *testing.T) {
	router := New(Config{})
	servers := []Server{newServer("a", 0, 0), newServer("b", 0, 0), newServer("c", 0, 0)}
	counts := map[string]int{}
	for i := range 30 {
		choice, err := router.Pick(baseTime(), newSmallRequest(fmt.Sprint("j", i)), servers)
		require.NoError(t, err)
		counts[choice.Server]++
	}
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, counts)
}

// TestPickLearnsClass guards against requests that stay in the wrong class because their declared run time is wrong
// by a factor of 10 or more.
func TestPickLearnsClass(t *testing.T) {
	router := New(Config{})
	servers := []Server{newServer("a", 0, 0)}
	for _, test := range []struct {
		kind        string
		declared    time.Duration
		runTime     time.Duration
		largeBefore bool
		largeAfter  bool
	}{
		{
			kind:        "banquet",
			declared:    50 * time.Millisecond,
			runTime:     5 * time.Second,
			largeBefore: false,
			largeAfter:  true,
		},
		{
			kind:        "quote",
			declared:    900 * time.Millisecond,
			runTime:     20 * time.Millisecond,
			largeBefore: true,
			largeAfter:  false,
		},
	} {
		request := newSmallRequest("j")
		request.Kind, request.DeclaredRunTime = test.kind, test.declared
		choice, err := router.Pick(baseTime(), request, servers)
		require.NoError(t, err)
		require.Equal(t, test.largeBefore, choice.Large)
		observation := Observation{Server: "a", JobID: "j", Workspace: "weddings", Kind: test.kind, RunTime: test.runTime}
		router.Observe(baseTime(), observation)
		choice, err = router.Pick(baseTime(), request, servers)
		require.NoError(t, err)
		require.Equal(t, test.largeAfter, choice.Large)
		require.Equal(t, test.runTime, choice.Estimate)
	}
}

// TestPickAvoidsFailingServer guards against sending requests to a server that fails them at once and therefore always
// looks idle. The server must be probed again after a backoff, and only with idempotent requests.
func TestPickAvoidsFailingServer(t *testing.T) {
	router := New(Config{})
	now := baseTime()
	servers := []Server{newServer("a", 0, 0)}
	pick := func(job string, idempotent bool) error {
		request := newSmallRequest(job)
		request.Idempotent = idempotent
		servers[0].LastAnnounced = now
		_, err := router.Pick(now, request, servers)
		return err
	}
	observe := func(job string, outcome Outcome) {
		router.Observe(now, Observation{Server: "a", JobID: job, Outcome: outcome})
	}
	for _, job := range []string{"one", "one", "one", "two", "three"} {
		require.NoError(t, pick(job, true))
		observe(job, OutcomeFailed)
	}
	require.ErrorContains(t, pick("four", true), string(ReasonFailing))
	now = now.Add(initialBackoff)
	require.ErrorContains(t, pick("once", false), string(ReasonFailing))
	require.NoError(t, pick("probe", true))
	require.ErrorContains(t, pick("second probe", true), string(ReasonFailing))
	observe("probe", OutcomeConnectionLost)
	now = now.Add(initialBackoff)
	require.ErrorContains(t, pick("too early", true), string(ReasonFailing))
	now = now.Add(initialBackoff)
	require.NoError(t, pick("probe", true))
	observe("probe", OutcomeSucceeded)
	require.NoError(t, pick("once", false))
}

// TestLargeRequestsLeaveSlotsFree guards against small requests that queue behind large ones: large requests must never
// occupy all slots of a server, whatever the mix of requests.
func TestLargeRequestsLeaveSlotsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := New(Config{})
		servers := []Server{newServer("a", 0, 0), newServer("b", 0, 0)}
		largeCounts := map[string]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			request := newSmallRequest(fmt.Sprint("j", i))
			request.DeclaredRunTime = time.Duration(rapid.IntRange(0, 2000).Draw(t, "declared")) * time.Millisecond
			choice, err := router.Pick(baseTime(), request, servers)
			if err == nil && choice.Large {
				largeCounts[choice.Server]++
			}
		}
		require.LessOrEqual(t, max(largeCounts["a"], largeCounts["b"]), 7)
	})
}

// TestAdmit guards against a workspace that exceeds its request rate or queue limit, and against changed limits that do
// not take effect.
func TestAdmit(t *testing.T) {
	router := New(Config{})
	limits := Limits{Workspace: "weddings", RequestsPerSecond: 20, MaxUnfinishedJobs: 5, Entries: 2}
	countAdmitted := func(now time.Time) int {
		var admitted int
		for router.Admit(now, limits, 0) == nil {
			admitted++
		}
		return admitted
	}
	require.Equal(t, 10, countAdmitted(baseTime()))
	require.ErrorIs(t, router.Admit(baseTime(), limits, 0), ErrRateLimited)
	require.Equal(t, 5, countAdmitted(baseTime().Add(500*time.Millisecond)))
	limits.RequestsPerSecond = 80
	// The larger rate counts from the change on; it does not add to what was saved before.
	require.Equal(t, 10, countAdmitted(baseTime().Add(2*time.Second)))
	require.Equal(t, 20, countAdmitted(baseTime().Add(2500*time.Millisecond)))
	require.Equal(t, 40, countAdmitted(baseTime().Add(time.Hour)))
	require.ErrorIs(t, router.Admit(baseTime().Add(2*time.Minute), limits, 5), ErrQueueFull)
}

// TestRetryBudget guards against retries that amplify an overload, and against a bucket that is never refilled.
func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget()
	var retries int
	for range 1000 {
		budget.RecordRequest(baseTime(), "weddings")
		if budget.AllowRetry(baseTime(), "weddings") {
			retries++
		}
	}
	require.InDelta(t, 110, retries, 2)
	require.False(t, budget.AllowRetry(baseTime(), "weddings"))
	require.True(t, budget.AllowRetry(baseTime(), "other"))
	require.True(t, budget.AllowRetry(baseTime().Add(3*time.Second), "weddings"))
}

// BenchmarkPick measures one selection at current and at target numbers of servers.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{11, 128, 1500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := New(Config{})
			var servers []Server
			for i := range count {
				servers = append(servers, newServer(fmt.Sprint("server", i), i%8, i%3))
			}
			request := newSmallRequest("job")
			b.ReportAllocs()
			for b.Loop() {
				choice, err := router.Pick(baseTime(), request, servers)
				if err != nil {
					b.Fatal(err)
				}
				router.Observe(baseTime(), Observation{Server: choice.Server, JobID: "job", Outcome: OutcomeRejected})
			}
		})
	}
}
