package entry

import (
	"slices"
	"sync"

	"radishpath.example/radishpath/peer/peerpb"
)

// compareTerms orders terms by log offset, then by successor.
func compareTerms(a, b *peerpb.Term) int {
	switch {
	case a.GetOffset() != b.GetOffset():
		return sign(a.GetOffset() - b.GetOffset())
	default:
		return sign(int64(a.GetSuccessor()) - int64(b.GetSuccessor()))
	}
}

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	default:
		return 0
	}
}

// terms is the highest placer term that this process has seen, from the log or from a peer.
type terms struct {
	mu     sync.Mutex
	term   *peerpb.Term
	placer string
	claim  *peerpb.Claim
	// claimed is the log offset of claim.
	claimed int64
}

func newTerms() *terms {
	return &terms{
		term: &peerpb.Term{
			Offset: -1,
		},
		claimed: -1,
	}
}

// current returns the highest term and its placer.
func (t *terms) current() (*peerpb.Term, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term, t.placer
}

// observe records a term and says whether it is higher than all before.
func (t *terms) observe(term *peerpb.Term, placer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term == nil || placer == "" || compareTerms(term, t.term) <= 0 {
		return false
	}
	t.term = term
	t.placer = placer
	return true
}

// observeClaim records a claim read from the log.
func (t *terms) observeClaim(offset int64, claim *peerpb.Claim) bool {
	higher := t.observe(&peerpb.Term{
		Offset: offset,
	}, claim.GetPlacer())
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset > t.claimed {
		t.claim = claim
		t.claimed = offset
	}
	return higher
}

// order lists who replaces the placer: the claim's successors first.
func (t *terms) order(alive []string) []string {
	t.mu.Lock()
	successors := t.claim.GetSuccessors()
	t.mu.Unlock()
	rank := func(id string) int {
		if at := slices.Index(successors, id); at >= 0 {
			return at
		}
		return len(successors)
	}
	ordered := slices.Sorted(slices.Values(alive))
	slices.SortStableFunc(ordered, func(a, b string) int { return rank(a) - rank(b) })
	return ordered
}

// succeed returns the term with which an entry takes over while the log is unavailable. Positions in the claim keep
// the terms of different entries apart: entry k of n takes only successor numbers that are k modulo n.
func (t *terms) succeed(id string) (*peerpb.Term, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claim == nil || t.term.GetOffset() != t.claimed {
		return nil, false
	}
	position := int32(0)
	if id != t.claim.GetPlacer() {
		at := slices.Index(t.claim.GetSuccessors(), id)
		if at < 0 {
			return nil, false
		}
		position = int32(at) + 1
	}
	count := int32(len(t.claim.GetSuccessors())) + 1
	next := t.term.GetSuccessor() + 1
	for next%count != position {
		next++
	}
	return &peerpb.Term{
		Offset:    t.claimed,
		Successor: next,
	}, true
}
