package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"radishpath.example/radishpath/peer/peerpb"
)

func term(offset int64, successor int32) *peerpb.Term {
	return &peerpb.Term{
		Offset:    offset,
		Successor: successor,
	}
}

// TestTermsOrder guards against a takeover by several entries at once.
func TestTermsOrder(t *testing.T) {
	terms := newTerms()
	require.Equal(t, []string{"a", "b"}, terms.order([]string{"b", "a"}), "without a claim")
	terms.observeClaim(4, &peerpb.Claim{Placer: "b", Successors: []string{"d", "a", "c"}})
	require.Equal(t, []string{"d", "a", "b", "e"}, terms.order([]string{"a", "b", "d", "e"}))
}

// TestTermsObserve guards against following a lower term and against a stale claim that replaces a newer one.
func TestTermsObserve(t *testing.T) {
	terms := newTerms()
	require.False(t, terms.observe(nil, "a"))
	require.False(t, terms.observe(term(1, 0), ""))
	require.True(t, terms.observeClaim(5, &peerpb.Claim{Placer: "a", Successors: []string{"b"}}))
	require.True(t, terms.observe(term(5, 1), "b"))
	require.False(t, terms.observe(term(5, 1), "c"), "the same term")
	require.False(t, terms.observeClaim(3, &peerpb.Claim{Placer: "z"}))
	next, ok := terms.succeed("a")
	require.True(t, ok)
	require.Equal(t, int32(2), next.GetSuccessor())

	require.True(t, terms.observe(term(9, 0), "c"), "from a peer that reads the log")
	_, ok = terms.succeed("b")
	require.False(t, ok, "the claim at 9 is not known yet")
	require.False(t, terms.observeClaim(7, &peerpb.Claim{Placer: "b"}))
	require.False(t, terms.observeClaim(9, &peerpb.Claim{Placer: "c", Successors: []string{"b"}}))
	_, ok = terms.succeed("b")
	require.True(t, ok)
	_, ok = terms.succeed("stranger")
	require.False(t, ok, "only entries that the claim names have a number of their own")
	_, placer := terms.current()
	require.Equal(t, "c", placer)
}

// TestTermsUnique guards against two entries that place under the same term during an outage of the log, whatever
// they have heard of each other.
func TestTermsUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "entries")
		claim := &peerpb.Claim{Placer: "entry-0"}
		for i := 1; i < count; i++ {
			claim.Successors = append(claim.Successors, fmt.Sprintf("entry-%d", i))
		}
		all := make([]*terms, count)
		for i := range all {
			all[i] = newTerms()
			all[i].observeClaim(3, claim)
		}
		owners := map[int32]string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, count-1).Draw(t, "from")
			if rapid.Bool().Draw(t, "heartbeat") {
				all[rapid.IntRange(0, count-1).Draw(t, "to")].observe(all[from].current())
				continue
			}
			id := fmt.Sprintf("entry-%d", from)
			before, _ := all[from].current()
			next, ok := all[from].succeed(id)
			if !ok || compareTerms(next, before) <= 0 {
				t.Fatalf("%s got %v after %v", id, next, before)
			}
			if other, taken := owners[next.GetSuccessor()]; taken && other != id {
				t.Fatalf("%s and %s share %v", id, other, next)
			}
			owners[next.GetSuccessor()] = id
			all[from].observe(next, id)
		}
	})
}
