package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func epoch() time.Time { return time.Unix(1_700_000_000, 0) }

func server(id string, outstanding, large int) Server {
	return Server{
		ID:               id,
		Zone:             "curepipe",
		Slots:            8,
		Outstanding:      outstanding,
		OutstandingLarge: large,
		Heard:            epoch(),
	}
}

func smallRequest(job string) Request {
	return Request{
		Job:        job,
		Workspace:  "weddings",
		Kind:       "quote",
		Idempotent: true,
		Declared:   20 * time.Millisecond,
		Zone:       "curepipe",
	}
}

// TestPick guards against work sent to a server that must not or should not get it.
func TestPick(t *testing.T) {
	far := server("b", 0, 0)
	far.Zone = "suva"
	leaving, out, silent := server("b", 0, 0), server("b", 0, 0), server("b", 0, 0)
	leaving.Leaving = true
	out.OutOfService = true
	silent.Heard = epoch().Add(-silentAfter - 1)
	large := smallRequest("j")
	large.Declared = time.Minute
	undeclared := smallRequest("j")
	undeclared.Declared = 0
	excluded := smallRequest("j")
	excluded.Exclude = []string{"b"}
	for _, test := range []struct {
		name    string
		request Request
		other   Server
		want    string
		reason  Reason
	}{
		{name: "fewer outstanding", request: smallRequest("j"), other: server("b", 0, 0), want: "b"},
		{name: "fewer but larger", request: smallRequest("j"), other: server("b", 1, 1), want: "a"},
		{name: "other zone, less work, slots free here", request: smallRequest("j"), other: far, want: "a"},
		{name: "leaving", request: smallRequest("j"), other: leaving, want: "a", reason: ReasonLeaving},
		{name: "zone out of service", request: smallRequest("j"), other: out, want: "a", reason: ReasonOutOfService},
		{name: "silent", request: smallRequest("j"), other: silent, want: "a", reason: ReasonSilent},
		{name: "refused before", request: excluded, other: server("b", 0, 0), want: "a", reason: ReasonExcluded},
		{name: "connections in use", request: smallRequest("j"), other: server("b", 60, 0), want: "a", reason: ReasonFull},
		{name: "large, slots for large in use", request: large, other: server("b", 7, 7), want: "a", reason: ReasonLarge},
		{name: "undeclared counts as large", request: undeclared, other: server("b", 7, 7), want: "a", reason: ReasonLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			choice, err := New(Config{}).Pick(epoch(), test.request, []Server{server("a", 2, 0), test.other})
			require.NoError(t, err)
			require.Equal(t, test.want, choice.Server)
			if test.reason != "" {
				require.Equal(t, []Passed{{Server: "b", Reason: test.reason}}, choice.Passed)
				require.Contains(t, choice.String(), "passed over: 1 "+string(test.reason))
			}
		})
	}
}

// TestPickWait guards against a request that waits in a full server although a slot is free in another one, or a
// shorter wait is to be had in another zone.
func TestPickWait(t *testing.T) {
	far := server("b", 0, 0)
	far.Zone = "suva"
	for _, test := range []struct {
		name  string
		local Server
		other Server
		want  string
	}{
		{name: "full here, free in another zone", local: server("a", 8, 7), other: far, want: "b"},
		{name: "full here, free beside long work", local: server("a", 8, 0), other: server("b", 7, 7), want: "b"},
		{name: "both full", local: server("a", 9, 7), other: server("b", 9, 0), want: "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			choice, err := New(Config{}).Pick(epoch(), smallRequest("j"), []Server{test.local, test.other})
			require.NoError(t, err)
			require.Equal(t, test.want, choice.Server)
		})
	}
}

// TestPickErrors guards against requests that are sent after their deadline or to no server.
func TestPickErrors(t *testing.T) {
	router := New(Config{})
	_, err := router.Pick(epoch(), smallRequest("j"), []Server{server("a", 60, 0)})
	require.ErrorIs(t, err, ErrNoServer)
	require.ErrorContains(t, err, "1 connections in use")
	late := smallRequest("j")
	late.Deadline = epoch()
	_, err = router.Pick(epoch(), late, []Server{server("a", 0, 0)})
	require.ErrorIs(t, err, ErrDeadline)
	late.Deadline = epoch().Add(100 * time.Millisecond)
	_, err = router.Pick(epoch(), late, []Server{server("a", 8, 6)})
	require.ErrorIs(t, err, ErrDeadline)
	_, err = router.Pick(epoch(), late, []Server{server("a", 7, 6)})
	require.NoError(t, err, "a slot is free")
}

// TestPickSpreads guards against a burst that lands on one server between two announcements.
func TestPickSpreads(t *testing.T) {
	router := New(Config{})
	servers := []Server{server("a", 0, 0), server("b", 0, 0), server("c", 0, 0)}
	counts := map[string]int{}
	for i := range 30 {
		choice, err := router.Pick(epoch(), smallRequest(fmt.Sprint("j", i)), servers)
		require.NoError(t, err)
		counts[choice.Server]++
	}
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, counts)
}

// TestClassesAreLearned guards against declared run times, wrong by 10 times, that put large requests among the small
// ones or keep small ones among the large.
func TestClassesAreLearned(t *testing.T) {
	router := New(Config{})
	servers := []Server{server("a", 0, 0)}
	for _, test := range []struct {
		kind     string
		declared time.Duration
		run      time.Duration
		before   bool
		after    bool
	}{
		{kind: "banquet", declared: 50 * time.Millisecond, run: 5 * time.Second, before: false, after: true},
		{kind: "quote", declared: 900 * time.Millisecond, run: 20 * time.Millisecond, before: true, after: false},
	} {
		request := smallRequest("j")
		request.Kind, request.Declared = test.kind, test.declared
		choice, err := router.Pick(epoch(), request, servers)
		require.NoError(t, err)
		require.Equal(t, test.before, choice.Large)
		ended := Observation{Server: "a", Job: "j", Workspace: "weddings", Kind: test.kind, RunTime: test.run}
		router.Observe(epoch(), ended)
		choice, err = router.Pick(epoch(), request, servers)
		require.NoError(t, err)
		require.Equal(t, test.after, choice.Large)
		require.Equal(t, test.run, choice.Estimate)
	}
}

// TestFailingServer guards against a server that fails all work at once and therefore always looks idle, and against
// one that is never tried again or is tried with work that must not run twice.
func TestFailingServer(t *testing.T) {
	router := New(Config{})
	now := epoch()
	servers := []Server{server("a", 0, 0)}
	pick := func(job string, idempotent bool) error {
		request := smallRequest(job)
		request.Idempotent = idempotent
		servers[0].Heard = now
		_, err := router.Pick(now, request, servers)
		return err
	}
	end := func(job string, outcome Outcome) {
		router.Observe(now, Observation{Server: "a", Job: job, Outcome: outcome})
	}
	for _, job := range []string{"one", "one", "one", "two", "three"} {
		require.NoError(t, pick(job, true))
		end(job, Failed)
	}
	require.ErrorContains(t, pick("four", true), string(ReasonFailing))
	now = now.Add(firstPause)
	require.ErrorContains(t, pick("once", false), string(ReasonFailing))
	require.NoError(t, pick("probe", true))
	require.ErrorContains(t, pick("second probe", true), string(ReasonFailing))
	end("probe", Lost)
	now = now.Add(firstPause)
	require.ErrorContains(t, pick("too early", true), string(ReasonFailing))
	now = now.Add(firstPause)
	require.NoError(t, pick("probe", true))
	end("probe", Done)
	require.NoError(t, pick("once", false))
}

// TestLargeLeaveSlots guards against small requests that wait behind large ones: whatever arrives, large requests
// never have all slots of a server.
func TestLargeLeaveSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := New(Config{})
		servers := []Server{server("a", 0, 0), server("b", 0, 0)}
		large := map[string]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			request := smallRequest(fmt.Sprint("j", i))
			request.Declared = time.Duration(rapid.IntRange(0, 2000).Draw(t, "declared")) * time.Millisecond
			choice, err := router.Pick(epoch(), request, servers)
			if err == nil && choice.Large {
				large[choice.Server]++
			}
		}
		require.LessOrEqual(t, max(large["a"], large["b"]), 7)
	})
}

// TestAdmit guards against a workspace that takes more than its rate or queue, and against a changed document without
// effect.
func TestAdmit(t *testing.T) {
	router := New(Config{})
	limits := Limits{Workspace: "weddings", Rate: 20, Queue: 5, Entries: 2}
	count := func(now time.Time) int {
		var admitted int
		for router.Admit(now, limits, 0) == nil {
			admitted++
		}
		return admitted
	}
	require.Equal(t, 10, count(epoch()))
	require.ErrorIs(t, router.Admit(epoch(), limits, 0), ErrRate)
	require.Equal(t, 5, count(epoch().Add(500*time.Millisecond)))
	limits.Rate = 80
	// The larger rate counts from the change on; it does not add to what was saved before.
	require.Equal(t, 10, count(epoch().Add(2*time.Second)))
	require.Equal(t, 20, count(epoch().Add(2500*time.Millisecond)))
	require.Equal(t, 40, count(epoch().Add(time.Hour)))
	require.ErrorIs(t, router.Admit(epoch().Add(2*time.Minute), limits, 5), ErrQueue)
}

// TestBudget guards against retries that multiply an overload, and against a workspace that loses its reserve forever.
func TestBudget(t *testing.T) {
	budget := NewBudget()
	var retries int
	for range 1000 {
		budget.Deposit(epoch(), "weddings")
		if budget.Withdraw(epoch(), "weddings") {
			retries++
		}
	}
	require.InDelta(t, 110, retries, 2)
	require.False(t, budget.Withdraw(epoch(), "weddings"))
	require.True(t, budget.Withdraw(epoch(), "other"))
	require.True(t, budget.Withdraw(epoch().Add(3*time.Second), "weddings"))
}

// BenchmarkPick measures one selection at the sizes of today and of the target.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{11, 128, 1500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := New(Config{})
			var servers []Server
			for i := range count {
				servers = append(servers, server(fmt.Sprint("server", i), i%8, i%3))
			}
			request := smallRequest("job")
			b.ReportAllocs()
			for b.Loop() {
				choice, err := router.Pick(epoch(), request, servers)
				if err != nil {
					b.Fatal(err)
				}
				router.Observe(epoch(), Observation{Server: choice.Server, Job: "job", Outcome: Refused})
			}
		})
	}
}
