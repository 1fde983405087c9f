package agent

import (
	"fmt"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxFences bounds the attempts that are remembered. At the target size a worker sees far fewer jobs than this in a
// day, and an attempt that is older than that has ended.
const maxFences = 1 << 16

// fences remembers attempts: one older than the newest known of its job is refused, and so is a member of one that was
// started, refused for good or declared unknown to its owner.
type fences struct {
	mu      sync.Mutex
	known   *lru.Cache[string, attempt]
	members *lru.Cache[fenceKey, fence]
}

type fenceKey struct {
	job    string
	member int32
}

// fence is the newest attempt of each kind. One that is ran may have run, and its result was acknowledged.
type fence struct {
	closed attempt
	ran    attempt
}

func newFences() *fences {
	return &fences{
		known:   newCache[string, attempt](),
		members: newCache[fenceKey, fence](),
	}
}

func newCache[K comparable, V any]() *lru.Cache[K, V] {
	cache, err := lru.New[K, V](maxFences)
	if err != nil {
		panic(err) // the size is a positive constant.
	}
	return cache
}

// check refuses an attempt that is older than the newest known one or closed.
func (f *fences) check(k key) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, _ := f.known.Get(k.job); k.attempt.compare(known) < 0 {
		return fmt.Errorf("attempt %s is older than %s", k.attempt, known)
	}
	if found, ok := f.members.Get(k.fence()); ok && k.attempt.compare(found.closed) <= 0 {
		return fmt.Errorf("attempt %s was settled before", k.attempt)
	}
	return nil
}

// close makes check refuse the member's attempt and all older ones.
func (f *fences) close(k key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(k)
	found, _ := f.members.Get(k.fence())
	found.closed = later(found.closed, k.attempt)
	f.members.Add(k.fence(), found)
}

// closedFor reports whether the member's attempt is closed.
func (f *fences) closedFor(k key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.members.Get(k.fence())
	return ok && k.attempt.compare(found.closed) <= 0
}

// hasRun reports whether the attempt or a newer one has run and was acknowledged.
func (f *fences) hasRun(k key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.members.Get(k.fence())
	return ok && k.attempt.compare(found.ran) <= 0
}

// hasRunBefore reports whether any attempt has run and was acknowledged.
func (f *fences) hasRunBefore(k key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.members.Get(k.fence())
	return ok && found.ran != attempt{}
}

// markRun records that the attempt has run and that its result was acknowledged.
func (f *fences) markRun(k key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, _ := f.members.Get(k.fence())
	found.ran = later(found.ran, k.attempt)
	f.members.Add(k.fence(), found)
}

// note makes check refuse attempts of the job that are older than this one.
func (f *fences) note(k key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(k)
}

func (f *fences) noteLocked(k key) {
	known, _ := f.known.Get(k.job)
	f.known.Add(k.job, later(known, k.attempt))
}

func (k key) fence() fenceKey {
	return fenceKey{
		job:    k.job,
		member: k.member,
	}
}

func later(a, b attempt) attempt {
	if a.compare(b) < 0 {
		return b
	}
	return a
}
