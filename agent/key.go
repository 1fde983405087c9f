package agent

import (
	"cmp"
	"fmt"

	"radishpath.example/radishpath/peer/peerpb"
)

// attempt orders the tries of one job.
type attempt struct {
	generation int64
	count      int32
}

// key identifies one member of one attempt of a job. A request is member 0.
type key struct {
	job     string
	attempt attempt
	member  int32
}

func attemptOf(a *peerpb.Attempt) attempt {
	return attempt{
		generation: a.GetGeneration(),
		count:      a.GetCount(),
	}
}

func newKey(job string, a *peerpb.Attempt, member int32) key {
	return key{
		job:     job,
		attempt: attemptOf(a),
		member:  member,
	}
}

func (a attempt) compare(b attempt) int {
	return cmp.Or(cmp.Compare(a.generation, b.generation), cmp.Compare(a.count, b.count))
}

func (a attempt) message() *peerpb.Attempt {
	return &peerpb.Attempt{
		Generation: a.generation,
		Count:      a.count,
	}
}

func (a attempt) String() string {
	return fmt.Sprintf("%d.%d", a.generation, a.count)
}

// covers reports whether a message about the given job, member and all attempts up to k's concerns other.
func (k key) covers(other key) bool {
	return k.job == other.job && k.member == other.member && other.attempt.compare(k.attempt) <= 0
}

// requestID is the same for every try to send the same attempt, so that the backend server's list can be searched.
func (k key) requestID() string {
	return fmt.Sprintf("%s.%s", k.job, k.attempt)
}

// taskID also names the task's lease.
func (k key) taskID() string {
	return fmt.Sprintf("%s.%s.%d", k.job, k.attempt, k.member)
}
