package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxReleaseLimit bounds the time for a checkpoint.
const maxReleaseLimit = 10 * time.Minute

// release drops holds and commitments of the job's attempts up to k's and ends their tasks, after a checkpoint if
// one is asked for. It doesn't wait for the end, which is reported like every other.
func (t *tasks) release(k key, checkpoint bool, limit time.Duration) {
	t.fences.note(k)
	if dropped := t.holds.release(k); dropped > 0 {
		t.journal.write(decisionRelease, k, fmt.Sprintf("%d holds dropped", dropped))
	}
	limit = min(max(limit, 0), maxReleaseLimit)
	for _, found := range t.list() {
		if !k.covers(found.key) || found.isEnded() || !found.release() {
			continue
		}
		t.journal.write(decisionRelease, found.key, fmt.Sprintf("checkpoint %t within %s", checkpoint, limit))
		t.group.run(func(ctx context.Context) {
			t.wind(ctx, found, checkpoint, limit)
		})
	}
}

// checkpoint asks for a checkpoint until the worker agrees or refuses, and waits for the task's end.
func (t *tasks) checkpoint(ctx context.Context, running *task) {
	t.retry(ctx, running, t.worker.Checkpoint)
	select {
	case <-running.ended:
	case <-ctx.Done():
	}
}

// retry calls the worker about a task until it answers, the task has ended or ctx ends.
func (t *tasks) retry(ctx context.Context, running *task, call func(ctx context.Context, id string) error) {
	wait := newBackoff()
	for ctx.Err() == nil && !running.isEnded() {
		callCtx, cancel := clockwork.WithTimeout(ctx, t.clock, workerTimeout)
		err := call(callCtx, running.key.taskID())
		cancel()
		if err == nil || errors.Is(err, t.worker.Rejected) {
			return
		}
		_ = sleep(ctx, t.clock, wait.NextBackOff())
	}
}

// wind ends a released task. The other members keep running until the limit, so that they can finish their own
// checkpoints; afterwards the gang counts as failed, in case they were never released.
func (t *tasks) wind(ctx context.Context, running *task, checkpoint bool, limit time.Duration) {
	if running.awaitLaunch(ctx) != nil {
		return
	}
	deadline := t.clock.Now().Add(limit)
	if checkpoint {
		limitCtx, cancel := clockwork.WithDeadline(ctx, t.clock, deadline)
		t.checkpoint(limitCtx, running)
		cancel()
	}
	if !running.isEnded() {
		running.stop()
		t.retry(ctx, running, t.worker.Stop)
	}
	if running.member == nil {
		return
	}
	if checkpoint {
		_ = sleep(ctx, t.clock, t.clock.Until(deadline))
	}
	running.member.fail()
}
