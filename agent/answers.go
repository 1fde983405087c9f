package agent

import (
	"errors"
	"hash/crc32"
	"sync"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxAnswersBytes bounds the answers that wait for their acknowledgement; a daemon may use 256 MB in all.
	maxAnswersBytes = 64 << 20
	// maxAnswerBytes is the largest answer that the job stream records.
	maxAnswerBytes = 1 << 20
	// answerOverhead is counted for each answer besides its body.
	answerOverhead = 1 << 10
	// serveReportDelay gives the owner of a request time to acknowledge the answer that it got directly.
	serveReportDelay = 5 * time.Second
)

var errAnswersFull = errors.New("too many answers wait for their acknowledgement")

// result is how a task or request ended.
type result struct {
	key          key
	request      bool
	answer       *peerpb.Answer
	failed       bool
	lost         bool
	checkpointed bool
	reason       string
}

// answers keeps results until they are acknowledged. Running work has room reserved, so that its answer always fits.
type answers struct {
	mu       sync.Mutex
	all      map[key]*result
	reserved int64
	used     int64
	// changed is called after a result was added.
	changed func(result)
}

func newAnswers(changed func(result)) *answers {
	return &answers{
		all:     map[key]*result{},
		changed: changed,
	}
}

// newResult wraps an outcome. An answer that is too large for the job stream makes the result a failure.
func newResult(k key, body []byte) result {
	r := result{
		key: k,
	}
	if len(body) > maxAnswerBytes {
		r.failed = true
		r.reason = "the answer is larger than 1 MiB"
		body = nil
	}
	r.answer = &peerpb.Answer{
		Job:     k.job,
		Attempt: k.attempt.message(),
		Length:  int64(len(body)),
		Crc32C:  crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)),
		Body:    body,
	}
	return r
}

// acknowledge drops the results of the job's attempts up to k's and returns them.
func (a *answers) acknowledge(k key) []result {
	a.mu.Lock()
	defer a.mu.Unlock()
	var dropped []result
	for other, r := range a.all {
		if k.covers(other) {
			delete(a.all, other)
			a.used -= r.size()
			dropped = append(dropped, *r)
		}
	}
	return dropped
}

// add keeps the result of work that had room reserved. The first result of a key counts.
func (a *answers) add(r result) {
	a.mu.Lock()
	a.reserved -= maxAnswerBytes + answerOverhead
	_, known := a.all[r.key]
	if !known {
		a.all[r.key] = &r
		a.used += r.size()
	}
	a.mu.Unlock()
	if !known {
		a.changed(r)
	}
}

// cancel gives back the room of work that did not run.
func (a *answers) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= maxAnswerBytes + answerOverhead
}

func (a *answers) check() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.checkLocked()
}

func (a *answers) get(k key) (result, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.all[k]
	if !ok {
		return result{}, false
	}
	return *r, true
}

// latest returns the result of the newest attempt of a request up to k's.
func (a *answers) latest(k key) (result, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *result
	for other, r := range a.all {
		if r.request && k.covers(other) && (best == nil || best.key.attempt.compare(other.attempt) < 0) {
			best = r
		}
	}
	if best == nil {
		return result{}, false
	}
	return *best, true
}

// list returns all results.
func (a *answers) list() []result {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]result, 0, len(a.all))
	for _, r := range a.all {
		all = append(all, *r)
	}
	return all
}

// reserve makes room for the answer of work that is about to run.
func (a *answers) reserve() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkLocked(); err != nil {
		return err
	}
	a.reserved += maxAnswerBytes + answerOverhead
	return nil
}

// reserveFound makes room for work that was found running, which can't be refused any more.
func (a *answers) reserveFound() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved += maxAnswerBytes + answerOverhead
}

// size returns the bytes in use and reserved.
func (a *answers) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used + a.reserved
}

func (a *answers) checkLocked() error {
	if a.used+a.reserved+maxAnswerBytes+answerOverhead > maxAnswersBytes {
		return errAnswersFull
	}
	return nil
}

func (r result) report(agent string) *peerpb.Report {
	return &peerpb.Report{
		Job:          r.key.job,
		Attempt:      r.key.attempt.message(),
		Member:       r.key.member,
		Agent:        agent,
		Failed:       r.failed,
		Lost:         r.lost,
		Reason:       r.reason,
		Answer:       r.answer,
		Checkpointed: r.checkpointed,
	}
}

func (r result) serveReply() *peerpb.ServeReply {
	return &peerpb.ServeReply{
		Reason: r.reason,
		Answer: r.answer,
		Failed: r.failed || r.lost,
	}
}

func (r result) size() int64 {
	return int64(len(r.answer.GetBody())+len(r.reason)) + answerOverhead
}
