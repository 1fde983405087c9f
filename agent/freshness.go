package agent

import (
	"fmt"
	"sync"
	"time"
)

// maxConfirmationAge is how long a confirmation of the newest revision permits starts. With the start lease of 1 s
// the sum stays at 4 s, below the 5 s within which a zone taken out of service must see no start.
const maxConfirmationAge = 3 * time.Second

// freshness knows when an entry last confirmed the newest revision.
type freshness struct {
	mu        sync.Mutex
	confirmed time.Time
}

// age returns the time since the latest confirmation, or zero if there was none.
func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 0
	}
	return now.Sub(f.confirmed)
}

// check refuses when the latest confirmation is too old.
func (f *freshness) check(now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return fmt.Errorf("no entry confirmed the document yet")
	}
	if age := now.Sub(f.confirmed); age >= maxConfirmationAge {
		return fmt.Errorf("the document was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// confirm records a confirmation that was age old in the reply to a question asked at the given time. Counting from
// the question makes a slow reply count as older, never as younger.
func (f *freshness) confirm(asked time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := asked.Add(-max(age, 0))
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}
