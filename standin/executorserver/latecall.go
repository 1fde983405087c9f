package executorserver

import (
	"context"
	"time"
)

// lateCall is a call that got no response and is carried out later.
type lateCall struct {
	call
	dueAt time.Time
}

// postpone draws whether a call is carried out late, and whether its connection is closed only when the client does so.
func (e *Executor) postpone(c call) (postponed, hangs bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	random := e.config.Random
	if random == nil || e.isDown() || !e.faults.isLate(random, c.path) {
		return false, false
	}
	c.late = true
	e.lateCalls = append(e.lateCalls, lateCall{
		call:  c,
		dueAt: e.config.Clock.Now().Add(e.faults.callDelay(random)),
	})
	return true, random.IntN(2) == 0
}

// carryOutLateCalls carries out the late calls that are due, whatever incarnation they were meant for. Those that are
// due while the executor is down are lost.
func (e *Executor) carryOutLateCalls(ctx context.Context) {
	for _, late := range e.takeDueCalls() {
		result := e.execute(ctx, late.call)
		e.config.Recorder.RecordEvent("%s carried out a late call of %s: status %d, reason %v, %s", e.currentID(),
			late.path, result.status, result.body["reason"], late.body)
	}
}

func (e *Executor) takeDueCalls() []lateCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	var due, pending []lateCall
	for _, late := range e.lateCalls {
		if late.dueAt.After(now) {
			pending = append(pending, late)
			continue
		}
		due = append(due, late)
	}
	e.lateCalls = pending
	return due
}

func (e *Executor) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}
