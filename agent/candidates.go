package agent

import (
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// maxCandidates bounds the incarnations that wait for a confirmation, and those remembered as refuted.
	maxCandidates = 64
	// maxCandidateAge is how long after its last heartbeat an incarnation may still be confirmed.
	maxCandidateAge = 5 * time.Second
	// refutationTime is how long heartbeats of a refuted incarnation are ignored, so that many of them don't keep the
	// executor busy. It is short because a refutation may be late.
	refutationTime = time.Second
)

// candidate is an incarnation that a heartbeat has named and the executor hasn't confirmed.
type candidate struct {
	heartbeat cell.Heartbeat
	// at is when the newest heartbeat came, or when the incarnation was refuted.
	at time.Duration
}

// candidates holds the incarnations that heartbeats have named beside the current one, oldest first.
type candidates struct {
	pending []candidate
	refuted []candidate
	// untried is set while the executor hasn't been asked about one of them.
	untried bool
}

// add adds a heartbeat and reports whether the executor must be asked about its incarnation.
func (c *candidates) add(heartbeat cell.Heartbeat, now time.Duration) bool {
	added := candidate{
		heartbeat: heartbeat,
		at:        now,
	}
	if i := indexOf(c.pending, heartbeat.Executor); i >= 0 {
		if heartbeat.Sequence > c.pending[i].heartbeat.Sequence {
			c.pending[i] = added
		}
		return false
	}
	if i := indexOf(c.refuted, heartbeat.Executor); i >= 0 && now-c.refuted[i].at < refutationTime {
		return false
	}
	c.pending = appendBounded(c.pending, added)
	c.untried = true
	return true
}

// begin returns the incarnations to ask about, and drops those whose last heartbeat is too old.
func (c *candidates) begin(now time.Duration) []candidate {
	c.untried = false
	c.pending = slices.DeleteFunc(c.pending, func(p candidate) bool { return now-p.at > maxCandidateAge })
	return slices.Clone(c.pending)
}

// take removes an incarnation and returns its newest heartbeat; false if it isn't pending any more.
func (c *candidates) take(executor *cellpb.Executor) (cell.Heartbeat, bool) {
	i := indexOf(c.pending, executor)
	if i < 0 {
		return cell.Heartbeat{}, false
	}
	heartbeat := c.pending[i].heartbeat
	c.pending = slices.Delete(c.pending, i, i+1)
	return heartbeat, true
}

// refute removes an incarnation and ignores its heartbeats for a while.
func (c *candidates) refute(executor *cellpb.Executor, now time.Duration) {
	heartbeat, ok := c.take(executor)
	if !ok {
		return
	}
	if i := indexOf(c.refuted, executor); i >= 0 {
		c.refuted = slices.Delete(c.refuted, i, i+1)
	}
	c.refuted = appendBounded(c.refuted, candidate{
		heartbeat: heartbeat,
		at:        now,
	})
}

func indexOf(list []candidate, executor *cellpb.Executor) int {
	return slices.IndexFunc(list, func(c candidate) bool { return sameIncarnation(c.heartbeat.Executor, executor) })
}

// appendBounded appends a candidate and drops the oldest one if there are more than maxCandidates.
func appendBounded(list []candidate, added candidate) []candidate {
	list = append(list, added)
	return list[max(len(list)-maxCandidates, 0):]
}
