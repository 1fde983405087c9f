package entry

import (
	"context"
	"sync"

	"radishpath.example/radishpath/peer/peerpb"
)

// fanoutLimit bounds the concurrent calls of one gang step; a gang of 1024 takes a few rounds.
const fanoutLimit = 128

// gangResult sums up one step over all members.
type gangResult struct {
	// first is the first refusal, empty if there was none.
	first     string
	succeeded int
}

// all calls every known member and sums up the results.
func (g *gangRun) all(
	ctx context.Context,
	call func(ctx context.Context, member int32, at *peerpb.Member) (ok bool, refusal string),
) gangResult {
	var mu sync.Mutex
	var result gangResult
	var calls sync.WaitGroup
	slots := make(chan struct{}, fanoutLimit)
	for member, at := range g.members {
		if at == nil {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ok, refusal := call(ctx, int32(member), at)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				result.succeeded++
			} else if result.first == "" {
				result.first = at.GetAgent() + ": " + refusal
			}
		})
	}
	calls.Wait()
	return result
}

// judge turns an agent's verdict or a failed call into a result.
func judge(verdict *peerpb.Verdict, err error) (ok bool, refusal string) {
	if err != nil {
		return false, err.Error()
	}
	return verdict.GetOk(), verdict.GetReason()
}

// compareAttempts orders attempts by generation, then by count; nil is lowest.
func compareAttempts(a, b *peerpb.Attempt) int {
	if a == nil || b == nil {
		return boolToInt(a != nil) - boolToInt(b != nil)
	}
	if a.GetGeneration() != b.GetGeneration() {
		return sign(a.GetGeneration() - b.GetGeneration())
	}
	return sign(int64(a.GetCount()) - int64(b.GetCount()))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// memberIndex returns the index of a member that another process named, if the gang has it.
func memberIndex(member int32, members int) (int, bool) {
	at := int(member)
	return at, at >= 0 && at < members
}
